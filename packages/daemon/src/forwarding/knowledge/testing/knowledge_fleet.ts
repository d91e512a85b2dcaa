import type { TargetRegistration } from "@coltsfootford/core";
import { VirtualTimerService } from "@coltsfootford/core";
import {
  FakeKeyValue,
  FakeKeyValueStore,
} from "@coltsfootford/key-value/testing";
import { JSONRPCServer } from "json-rpc-2.0";
import type { Controller } from "../../../controllers/index.ts";
import {
  createForwardingBlackboard,
  type ForwardingBlackboard,
  type PeerDaemon,
} from "../../forwarding_blackboard.ts";
import type { CallPeer } from "../call_peer.ts";
import { EvacuationController } from "../evacuation_controller.ts";
import { PeersController } from "../peers_controller.ts";
import { PeerSyncController } from "../peer_sync_controller.ts";
import { RoutesController } from "../routes_controller.ts";
import { StoreContactController } from "../store_contact_controller.ts";
import { StoreFollowerController } from "../store_follower_controller.ts";
import { StoreRelayController } from "../store_relay_controller.ts";
import { TargetRegistryController } from "../target_registry_controller.ts";
import { JsonRecordCodec } from "./json_record_codec.ts";

const STEP_MS = 50;
/** Turns of the event loop in which all promises of a step settle. */
const TURNS_PER_STEP = 3;
const ZONES = 3;
const FIRST_PORT = 1;
const SEEDS = 3;
const LIMITS = {
  shutdownLimitMs: 8_000,
  targetLeaveMs: 2_000,
  changeApplyMs: 2_000,
  repeatRatio: 0.2,
  repeatSlack: 50,
  maxLoadFactor: 2,
};
const LOG = { event: () => {} };
const CODEC = new JsonRecordCodec();

/** One process of a daemon: what it knows, and its own clock. */
export class KnowingDaemon {
  readonly zone: number;
  readonly blackboard: ForwardingBlackboard;
  readonly store: FakeKeyValue;
  readonly rpc = new JSONRPCServer();
  readonly timer = new VirtualTimerService();
  isFrozen = false;
  readonly #controllers: readonly Controller[];
  readonly #relay: StoreRelayController;

  constructor(
    readonly index: number,
    fleet: KnowledgeFleet,
    random: () => number,
  ) {
    this.zone = index % ZONES;
    const { rpc, timer } = this;
    const self = describeDaemon(index);
    const store = new FakeKeyValue(timer, fleet.store);
    const blackboard = createForwardingBlackboard(LIMITS);
    this.blackboard = blackboard;
    this.store = store;
    const routes = new RoutesController(blackboard, CODEC, LOG);
    const registry = new TargetRegistryController(
      blackboard,
      CODEC,
      timer,
      LOG,
    );
    const peers = new PeersController(self, blackboard, store, timer, LOG);
    const evacuation = new EvacuationController(blackboard, CODEC, timer, LOG);
    const followed = [
      routes.followed,
      registry.followed,
      evacuation.followed,
      peers.followed,
    ];
    const isAfterOutage = () => registry.isAfterOutage();
    const callPeer: CallPeer = (peer, method, params) =>
      fleet.call(this, peer, method, params);
    const follower = new StoreFollowerController({
      store,
      followed,
      changeApplyMs: LIMITS.changeApplyMs,
      timer,
      log: LOG,
    });
    const seeds = Array.from({ length: SEEDS }, (_, seed) => seed)
      .filter((seed) => seed !== index).map(describeDaemon);
    this.#relay = new StoreRelayController({
      self,
      rpc,
      blackboard,
      followed,
      follower,
      isAfterOutage,
      store,
      callPeer,
      timer,
      log: LOG,
    });
    this.#controllers = [
      new StoreContactController(blackboard, store, timer, LOG),
      routes,
      registry,
      evacuation,
      peers,
      new PeerSyncController({
        rpc,
        blackboard,
        followed,
        retainedFacts: [routes, registry, evacuation],
        history: store.history,
        isAfterOutage,
        callPeer,
        seeds,
        timer,
        log: LOG,
        random,
      }),
      follower,
      this.#relay,
    ];
  }

  /** Whether the daemon follows the store for its zone. */
  get isRelay(): boolean {
    return this.#relay.isRelay;
  }

  get followsStore(): boolean {
    return this.#relay.followsStore;
  }

  get version(): number | undefined {
    return this.blackboard.routes.read()?.config.version;
  }

  get evacuatedZones(): readonly string[] {
    return [...this.blackboard.evacuatedZones.read()];
  }

  get targetIds(): readonly string[] {
    return this.blackboard.targets.read()?.map(({ id }) => id) ?? [];
  }

  async start(): Promise<void> {
    for (const controller of this.#controllers) await controller.start();
  }

  async stop(): Promise<void> {
    for (const controller of this.#controllers) await controller.stop();
    await this.store.close();
  }
}

/**
 * Daemons that follow one store with the production controllers, in virtual
 * time, under faults.
 */
export class KnowledgeFleet {
  readonly store = new FakeKeyValueStore();
  readonly daemons: KnowingDaemon[] = [];
  /** The zone that reaches neither the store nor other zones. */
  #cutZone: number | undefined;
  /** Length of the longest response of a daemon to another one. */
  longestResponse = 0;
  #isStoreDown = false;
  #nowMs = 0;
  #seed: number;

  constructor(seed: number) {
    this.#seed = seed;
    this.store.era = 1;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  async startDaemon(index: number): Promise<KnowingDaemon> {
    const daemon = new KnowingDaemon(index, this, () => this.#random());
    daemon.timer.advance(this.#nowMs);
    this.daemons[index] = daemon;
    this.#updateLink(daemon);
    await daemon.start();
    return daemon;
  }

  /** Kills a daemon; its lease stays. */
  kill(index: number): void {
    const daemon = this.daemons[index]!;
    daemon.isFrozen = true;
    daemon.store.setDown(true);
  }

  freeze(daemon: KnowingDaemon, isFrozen: boolean): void {
    daemon.isFrozen = isFrozen;
    this.#updateLink(daemon);
    if (!isFrozen) daemon.timer.advance(this.#nowMs - daemon.timer.nowMs());
  }

  setStoreDown(isDown: boolean): void {
    this.#isStoreDown = isDown;
    for (const daemon of this.daemons) this.#updateLink(daemon);
  }

  cutZone(zone: number | undefined): void {
    this.#cutZone = zone;
    for (const daemon of this.daemons) this.#updateLink(daemon);
  }

  isCut({ zone }: KnowingDaemon): boolean {
    return zone === this.#cutZone;
  }

  write(key: string, value: unknown): void {
    this.store.txn({
      compares: [],
      success: [{ kind: "put", key, value: JSON.stringify(value) }],
      failure: [],
    });
  }

  remove(key: string): void {
    this.store.txn({
      compares: [],
      success: [{ kind: "delete", selection: { key } }],
      failure: [],
    });
  }

  /** Publishes a configuration; `padding` makes it large. */
  publish(version: number, padding = ""): void {
    this.write(CODEC.configKey, {
      version,
      padding,
      routes: [],
      services: [],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    });
  }

  evacuate(zone: string): void {
    this.write(CODEC.evacuationPrefix + zone, {});
  }

  takeBack(zone: string): void {
    this.remove(CODEC.evacuationPrefix + zone);
  }

  register(id: string, fields: Partial<TargetRegistration> = {}): void {
    this.write(CODEC.registrationPrefix + id, {
      id,
      bornAtMs: 1,
      sequence: 1,
      service: "service",
      host: "127.0.0.1",
      port: 1,
      availabilityZone: "zone",
      slots: 1,
      isLeaving: false,
      coldLeftMs: 0,
      ...fields,
    });
  }

  /** Lets time pass; `onStep` is called after each step. */
  async advance(durationMs: number, onStep = () => {}): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    while (this.#nowMs < endMs) {
      this.#nowMs += STEP_MS;
      for (const { timer, isFrozen } of this.daemons) {
        if (!isFrozen) timer.advance(this.#nowMs - timer.nowMs());
      }
      for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      onStep();
    }
  }

  async call(
    from: KnowingDaemon,
    { port }: PeerDaemon,
    method: string,
    params: object,
  ): Promise<unknown> {
    const peer = this.daemons[port - FIRST_PORT]!;
    const areSeparated = peer.zone !== from.zone &&
      (this.isCut(peer) || this.isCut(from));
    if (peer.isFrozen || areSeparated) throw new Error("no response");
    const request = { jsonrpc: "2.0", id: 1, method, params } as const;
    const response = await peer.rpc.receive(request);
    if (response?.error) throw new Error(response.error.message);
    const text = JSON.stringify(response?.result ?? null);
    this.longestResponse = Math.max(this.longestResponse, text.length);
    return JSON.parse(text);
  }

  async close(): Promise<void> {
    for (const daemon of this.daemons) {
      // Delays end only as the virtual time advances.
      daemon.store.faults.failureDelayMs = 0;
      daemon.store.faults.responseDelayMs = 0;
      await daemon.stop();
    }
  }

  #updateLink(daemon: KnowingDaemon): void {
    const isDown = this.#isStoreDown || daemon.isFrozen || this.isCut(daemon);
    daemon.store.setDown(isDown);
  }

  /** A linear congruential generator (Numerical Recipes). */
  #random(): number {
    this.#seed = (this.#seed * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return this.#seed / 2 ** 32;
  }
}

/** The port of a daemon tells its index. */
function describeDaemon(index: number): PeerDaemon {
  return {
    name: `daemon-${index}`,
    host: "127.0.0.1",
    port: FIRST_PORT + index,
    availabilityZone: `zone-${index % ZONES}`,
  };
}
