import {
  isLater,
  selectStoreRelays,
  type SourceObservation,
  type StoreRelays,
  type StoreRevision,
  StoreSource,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import type { JSONRPCServer } from "json-rpc-2.0";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import { type CallPeer, callPeer } from "./call_peer.ts";
import type { FollowedPrefix, PrefixDelta } from "./followed_prefix.ts";
import type { StoreFollowerController } from "./store_follower_controller.ts";
import {
  MAX_WAIT_MS,
  type WaitRequest,
  WaitRequestSchema,
  type WaitResponse,
  WaitResponseSchema,
} from "./wait_messages.ts";

const WAIT_METHOD = "knowledge.wait";
const CHECK_PERIOD_MS = 100;
/** Time beyond the wait after which a relay counts as unreachable. */
const RESPONSE_MARGIN_MS = 300;
/** The same where the response contains large values. */
const LARGE_RESPONSE_MARGIN_MS = 2_000;
/**
 * Longest value that a relay passes on. Others are read from the store, since a
 * relay's link is too narrow to send a configuration to each daemon of its zone.
 */
const MAX_RELAYED_VALUE_LENGTH = 4_096;
/** Pause after a relay did not respond. */
const RETRY_PERIOD_MS = 300;

/** Where a delta comes from. */
interface DeltaOrigin {
  readonly peer: PeerDaemon;
  /** The point that the relay was told to be known. */
  readonly since: StoreRevision;
  readonly isAfterOutage: boolean;
}

/** Dependencies of a `StoreRelayController`. */
export interface StoreRelayDependencies {
  readonly self: PeerDaemon;
  readonly rpc: JSONRPCServer;
  readonly blackboard: ForwardingBlackboard;
  readonly followed: readonly FollowedPrefix[];
  readonly follower: StoreFollowerController;
  /** Whether entries may be missing that lapsed while the store was away. */
  readonly isAfterOutage: () => boolean;
  readonly store: KeyValueClient;
  /** Calls another daemon; over HTTP where absent. */
  readonly callPeer?: CallPeer;
  readonly timer: TimerService;
  readonly log: Logger;
}

/**
 * Lets a few daemons of each availability zone follow the store for the others.
 * Every daemon responds to waits of others as soon as its knowledge is newer or
 * was confirmed. A daemon whose relays are silent or outdated asks those of other
 * zones, and then follows the store itself.
 */
export class StoreRelayController extends Controller {
  override readonly name = "store-relay";
  readonly #dependencies: StoreRelayDependencies;
  readonly #source = new StoreSource();
  readonly #waiting = new Set<() => void>();
  readonly #writer;
  /** Until when relayed knowledge is known to be current. */
  #relayedAsOfMs = -Infinity;
  #relays: StoreRelays = { isRelay: true, ownZone: [], otherZones: [] };
  #peers: ReadonlyMap<string, PeerDaemon> = new Map();
  #isWaiting = false;
  #isAsking = false;
  #nextOwn = 0;
  #nextOther = 0;
  #retryAtMs = -Infinity;
  #askAtMs = -Infinity;
  #applied = 0;
  #isStopped = false;
  /**
   * By prefix whose large values are being read: the point up to which relays
   * have told of changes. It is named to them so that they tell only of later
   * ones; what they tell meanwhile is not applied.
   */
  readonly #reading = new Map<string, StoreRevision>();
  /** When large values could not be read from the store. */
  #readFailedAtMs = -Infinity;
  #cancel: () => void = () => {};

  constructor(dependencies: StoreRelayDependencies) {
    super();
    this.#dependencies = dependencies;
    const { rpc, blackboard, self } = dependencies;
    this.#writer = blackboard.knowledgeAsOfMs.claimWriter(this.name);
    rpc.addMethod(
      WAIT_METHOD,
      (params: unknown) => this.#respond(WaitRequestSchema.parse(params)),
    );
    blackboard.peers.subscribe((peers) => {
      this.#peers = new Map(peers.map((peer) => [peer.name, peer]));
      this.#relays = selectStoreRelays(self, peers);
    });
    dependencies.follower.onConfirmed = () => this.#recordCurrent();
  }

  /** Whether this daemon follows the store for its zone. */
  get isRelay(): boolean {
    return this.#relays.isRelay;
  }

  /** Whether this daemon follows the store itself. */
  get followsStore(): boolean {
    return this.#source.followsStore;
  }

  override start(): Promise<void> {
    this.#cancel = this.#dependencies.timer.every(
      CHECK_PERIOD_MS,
      () => this.#check(),
    );
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#isStopped = true;
    this.#cancel();
    this.#wakeAll();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return {
      isRelay: this.isRelay,
      followsStore: this.followsStore,
      relays: this.#relays.ownZone,
      applied: this.#applied,
    };
  }

  #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  /** The store has confirmed what this daemon knows, or told what is new. */
  #recordCurrent(): void {
    this.#writer.write(this.#nowMs());
    this.#wakeAll();
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiting]) wake();
  }

  #check(): void {
    if (this.#isStopped) return;
    const observation: SourceObservation = {
      isRelay: this.#relays.isRelay,
      hasRelays: this.#relays.ownZone.length > 0,
      currentAsOfMs: this.#relayedAsOfMs,
      nowMs: this.#nowMs(),
    };
    const followedBefore = this.#source.followsStore;
    this.#source.observe(observation);
    const { followsStore } = this.#source;
    if (followsStore !== followedBefore) {
      const { follower, log } = this.#dependencies;
      log.event("storeSourceChanged", {
        followsStore,
        isRelay: observation.isRelay,
        relayedMsAgo: Math.round(observation.nowMs - this.#relayedAsOfMs),
      });
      if (followsStore) follower.resume();
      else follower.pause();
    }
    if (observation.isRelay || !observation.hasRelays) return;
    void this.#waitForRelay();
    const isSuspect = this.#relayedAsOfMs > -Infinity &&
      this.#source.isSuspect(observation);
    if (isSuspect) void this.#askOtherZone();
  }

  /** Waits at the next relay of the zone. */
  async #waitForRelay(): Promise<void> {
    const { ownZone } = this.#relays;
    if (this.#isWaiting || this.#nowMs() < this.#retryAtMs) return;
    const name = ownZone[this.#nextOwn % ownZone.length];
    this.#isWaiting = true;
    const isCurrent = await this.#request(name, MAX_WAIT_MS);
    this.#isWaiting = false;
    if (isCurrent) return void this.#check();
    this.#nextOwn += 1;
    const hasTriedAll = this.#nextOwn % Math.max(1, ownZone.length) === 0;
    if (hasTriedAll) this.#retryAtMs = this.#nowMs() + RETRY_PERIOD_MS;
  }

  async #askOtherZone(): Promise<void> {
    const { otherZones } = this.#relays;
    if (this.#isAsking || this.#nowMs() < this.#askAtMs) return;
    this.#askAtMs = this.#nowMs() + RETRY_PERIOD_MS;
    this.#isAsking = true;
    await this.#request(otherZones[this.#nextOther++ % otherZones.length], 0);
    this.#isAsking = false;
  }

  /** Resolves with whether the daemon responded with newer knowledge. */
  async #request(
    name: string | undefined,
    waitMs: number,
    wantsLargeValues = this.#readFailedAtMs >
      this.#dependencies.store.lastResponseAtMs,
  ): Promise<boolean> {
    const peer = this.#peers.get(name ?? "");
    if (!peer) return false;
    const revisions = Object.fromEntries(
      this.#dependencies.followed.map(({ prefix, revision }) =>
        [prefix, this.#reading.get(prefix) ?? revision] as const
      ),
    );
    const request: WaitRequest = { revisions, waitMs, wantsLargeValues };
    const marginMs = wantsLargeValues
      ? LARGE_RESPONSE_MARGIN_MS
      : RESPONSE_MARGIN_MS;
    const timeoutMs = waitMs + marginMs;
    const call = this.#dependencies.callPeer ?? callPeer;
    try {
      const response = await this.#withTimeout(
        call(peer, WAIT_METHOD, request, timeoutMs),
        timeoutMs,
      );
      return this.#apply(peer, revisions, WaitResponseSchema.parse(response));
    } catch (cause) {
      const error = (cause as Error).message;
      this.#dependencies.log.event("peerUnreachable", {
        peer: peer.name,
        error,
      });
      return false;
    }
  }

  #withTimeout(call: PromiseLike<unknown>, afterMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const cancel = this.#dependencies.timer.after(
        afterMs,
        () => reject(new Error("no response in time")),
      );
      call.then(resolve, reject).then(cancel, cancel);
    });
  }

  /** Applies a response; returns whether it made the knowledge more current. */
  #apply(
    peer: PeerDaemon,
    revisions: WaitRequest["revisions"],
    { currentMsAgo, isAfterOutage, deltas }: WaitResponse,
  ): boolean {
    let isComplete = true;
    for (const prefix of this.#dependencies.followed) {
      const delta = deltas[prefix.prefix];
      const since = revisions[prefix.prefix];
      if (!delta || !since) continue;
      const origin = { peer, since, isAfterOutage };
      if (isLater(since, prefix.revision)) {
        this.#skipWhileReading(prefix, delta);
      } else if (delta.omitted.length > 0) {
        void this.#readOmitted(prefix, delta, origin);
      } else if (!this.#applyDelta(prefix, delta, origin)) {
        isComplete = false;
      }
    }
    if (!isComplete || currentMsAgo === null) return false;
    const asOfMs = this.#nowMs() - currentMsAgo;
    if (asOfMs <= this.#relayedAsOfMs) return false;
    this.#relayedAsOfMs = asOfMs;
    const { knowledgeAsOfMs } = this.#dependencies.blackboard;
    if (asOfMs > knowledgeAsOfMs.read()) this.#writer.write(asOfMs);
    this.#wakeAll();
    return true;
  }

  /**
   * Leaves out a delta that begins after values which are still being read, or
   * whose read has failed. Relays are asked for it again afterwards.
   */
  #skipWhileReading({ prefix }: FollowedPrefix, delta: PrefixDelta): void {
    if (delta.keys === null || !this.#reading.has(prefix)) return;
    this.#reading.set(prefix, delta.revision);
  }

  #applyDelta(
    prefix: FollowedPrefix,
    delta: PrefixDelta,
    { peer, since, isAfterOutage }: DeltaOrigin,
  ): boolean {
    const { store, log } = this.#dependencies;
    store.history.learn(delta.revision);
    if (prefix.applyDelta(delta, since, isAfterOutage)) {
      if (delta.keys !== null) this.#applied += 1;
      return true;
    }
    log.event("knowledgeRefused", {
      key: prefix.prefix,
      error: `the delta of ${peer.name} does not fit`,
    });
    return false;
  }

  /** Reads what a delta leaves out, and applies it. */
  async #readOmitted(
    prefix: FollowedPrefix,
    delta: PrefixDelta,
    origin: DeltaOrigin,
  ): Promise<void> {
    if (this.#reading.has(prefix.prefix)) return;
    this.#reading.set(prefix.prefix, delta.revision);
    const { store, log } = this.#dependencies;
    const read = await Promise.all(
      delta.omitted.map((key) => store.get(key)),
    );
    this.#reading.delete(prefix.prefix);
    const values = read.flatMap((entry) => entry.unwrapOr(undefined) ?? []);
    if (values.length < delta.omitted.length) {
      this.#readFailedAtMs = this.#nowMs();
      log.event("largeValueMissing", {
        keys: delta.omitted,
        revision: delta.revision,
      });
      await this.#request(origin.peer.name, 0, true);
      return;
    }
    const entries = [...delta.entries, ...values];
    this.#applyDelta(prefix, { ...delta, entries }, origin);
  }

  async #respond(
    { revisions, waitMs, wantsLargeValues }: WaitRequest,
  ): Promise<WaitResponse> {
    const { followed, blackboard, isAfterOutage } = this.#dependencies;
    if (waitMs > 0 && !this.#hasNewsSince(revisions)) {
      await this.#waitForNews(waitMs);
    }
    const deltas: WaitResponse["deltas"] = {};
    for (const prefix of followed) {
      const known = revisions[prefix.prefix];
      const delta = known && prefix.deltaSince(
        known,
        wantsLargeValues ? Infinity : MAX_RELAYED_VALUE_LENGTH,
      );
      if (delta) deltas[prefix.prefix] = delta;
    }
    const asOfMs = blackboard.knowledgeAsOfMs.read();
    return {
      currentMsAgo: asOfMs === -Infinity ? null : this.#nowMs() - asOfMs,
      isAfterOutage: isAfterOutage(),
      deltas,
    };
  }

  #hasNewsSince(revisions: WaitRequest["revisions"]): boolean {
    return this.#dependencies.followed.some((prefix) => {
      const known = revisions[prefix.prefix];
      return known && prefix.hasChangedSince(known);
    });
  }

  #waitForNews(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        cancel();
        this.#waiting.delete(wake);
        resolve();
      };
      const cancel = this.#dependencies.timer.after(waitMs, wake);
      this.#waiting.add(wake);
    });
  }
}
