import type { Server } from "node:http";
import { JSONRPCServer } from "json-rpc-2.0";
import {
  hash32,
  maxClientConnections,
  maxControlConnections,
  RetryShares,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { ByteHoldings } from "../buffering/index.ts";
import {
  ClientConnections,
  createConnectionLimit,
} from "../connections/index.ts";
import type { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import { Metrics } from "../metrics/index.ts";
import {
  createForwardingBlackboard,
  describeSelf,
} from "./forwarding_blackboard.ts";
import { Forwarder } from "./forwarder.ts";
import { ForwardingServer } from "./forwarding_server.ts";
import {
  ColdTargetController,
  CrashCheck,
  EvacuationController,
  FleetRelay,
  LimitController,
  OverloadController,
  PeersController,
  PeerSyncController,
  PromptQuarantineController,
  QuarantineController,
  RoutesController,
  SlotController,
  StoreContactController,
  StoreFollowerController,
  type StoreRecordCodec,
  StoreRelayController,
  TargetRegistryController,
} from "./knowledge/index.ts";
import { listen } from "./listen_on_address.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { ForwardingLimits, ForwardingSettings } from "./settings.ts";
import { shutDownGracefully } from "./shutdown.ts";
import {
  createStatusServer,
  listStatusAddresses,
} from "./create_status_server.ts";
import { TargetPool } from "./target_pool.ts";

/**
 * Assumed prefill speed of an engine, in prompt tokens per millisecond: the
 * order of magnitude in the data sheets of the engines in use.
 */
const PROMPT_TOKENS_PER_MS = 50;

/** The parts of a daemon that depend on the platform. */
export interface ForwardingPlatform {
  readonly requestCodec: RequestCodec;
  readonly recordCodec: StoreRecordCodec;
  readonly store: KeyValueClient;
  readonly readinessPath: string;
}

/** Dependencies of a `ForwardingDaemon`. */
export interface ForwardingDaemonDependencies {
  readonly settings: ForwardingSettings;
  readonly platform: ForwardingPlatform;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly random: () => number;
}

/** Assembles a daemon that forwards requests and runs its lifecycle. */
export class ForwardingDaemon {
  readonly #dependencies: ForwardingDaemonDependencies;
  readonly #blackboard;
  readonly #lifecycle;
  readonly #limits;
  readonly #metrics = new Metrics();
  readonly #controllers: readonly Controller[];
  readonly #pool: TargetPool;
  readonly #forwarder: Forwarder;
  readonly #server: ForwardingServer;
  readonly #connections: ClientConnections;
  readonly #statusServers: Server[] = [];
  #stopForwarder: () => void = () => {};

  constructor(dependencies: ForwardingDaemonDependencies) {
    this.#dependencies = dependencies;
    const { settings, platform, timer, log, random } = dependencies;
    const { requestCodec, recordCodec, store } = platform;
    const blackboard = createForwardingBlackboard(settings.limits);
    this.#blackboard = blackboard;
    this.#lifecycle = blackboard.lifecycle.claimWriter("daemon");
    this.#limits = blackboard.limits.claimWriter("daemon");
    const rpc = new JSONRPCServer({
      errorListener: (message, data) =>
        log.event("internalFault", { error: `${message}: ${data}` }),
    });
    const self = describeSelf(settings);
    const routes = new RoutesController(blackboard, recordCodec, log);
    const registry = new TargetRegistryController(
      blackboard,
      recordCodec,
      timer,
      log,
    );
    const evacuation = new EvacuationController(
      blackboard,
      recordCodec,
      timer,
      log,
    );
    const peers = new PeersController(self, blackboard, store, timer, log);
    const seeds = settings.seeds
      .map(({ host, port }) => ({ name: `${host}:${port}`, host, port }))
      .filter(({ host }) => host !== self.host);
    const relay = new FleetRelay({ self, blackboard, seeds, rpc, timer, log });
    const crashCheck = new CrashCheck(timer);
    const quarantine = new QuarantineController({
      self,
      blackboard,
      store,
      rpc,
      relay,
      crashCheck,
      timer,
      log,
    });
    const promptQuarantine = new PromptQuarantineController({
      self,
      blackboard,
      store,
      relay,
      crashCheck,
      timer,
      log,
      metrics: this.#metrics,
    });
    const daemonHash = hash32(settings.vm);
    const pool = new TargetPool(blackboard, timer);
    this.#pool = pool;
    const coldTargets = new ColdTargetController({
      self,
      blackboard,
      pool,
      relay,
      timer,
      log,
      metrics: this.#metrics,
    });
    const limits = new LimitController({
      self,
      blackboard,
      pool,
      relay,
      coldTargets,
      rpc,
      timer,
      log,
      metrics: this.#metrics,
    });
    const slots = new SlotController({
      isEnabled: settings.ordersContendedTargets ?? false,
      self,
      blackboard,
      relay,
      rpc,
      timer,
      log,
      metrics: this.#metrics,
    });
    const followed = [
      routes.followed,
      registry.followed,
      evacuation.followed,
      peers.followed,
      quarantine.followed,
      promptQuarantine.followed,
    ];
    const isAfterOutage = () => registry.isAfterOutage();
    const follower = new StoreFollowerController({
      store,
      followed,
      changeApplyMs: settings.limits.changeApplyMs,
      timer,
      log,
    });
    const peerSync = new PeerSyncController({
      rpc,
      blackboard,
      followed,
      isAfterOutage,
      retainedFacts: [
        routes,
        registry,
        evacuation,
        quarantine,
        promptQuarantine,
        limits,
        coldTargets,
      ],
      history: store.history,
      seeds,
      timer,
      log,
      random,
    });
    const overload = new OverloadController({
      self,
      blackboard,
      pool,
      relay,
      timer,
      log,
      metrics: this.#metrics,
    });
    this.#controllers = [
      new StoreContactController(blackboard, store, timer, log),
      routes,
      registry,
      evacuation,
      peers,
      quarantine,
      promptQuarantine,
      limits,
      coldTargets,
      slots,
      peerSync,
      overload,
      follower,
      new StoreRelayController({
        self,
        rpc,
        blackboard,
        followed,
        follower,
        isAfterOutage,
        store,
        timer,
        log,
      }),
    ];
    this.#forwarder = new Forwarder({
      codec: requestCodec,
      pool,
      timer,
      log,
      metrics: this.#metrics,
      placement: () => ({
        availabilityZone: settings.availabilityZone,
        daemonHash,
        maxLoadFactor: blackboard.limits.read().maxLoadFactor,
        promptTokensPerMs: PROMPT_TOKENS_PER_MS,
      }),
      evacuatedZones: () => blackboard.evacuatedZones.read(),
      retryShares: new RetryShares(
        () => {
          const { repeatRatio, repeatSlack } = blackboard.limits.read();
          return { ratio: repeatRatio, slack: repeatSlack };
        },
        () => blackboard.peers.read().length + 1,
      ),
      crashObserver: quarantine,
      promptObserver: promptQuarantine,
      quarantinedParts: () => blackboard.quarantinedParts.read(),
      loadObserver: overload,
      leavingObserver: registry,
      limits,
      slots,
      random,
    });
    const holdings = new ByteHoldings({
      memoryLimitBytes: settings.memoryLimitBytes,
      timer,
      log,
      metrics: this.#metrics,
    });
    this.#server = new ForwardingServer({
      blackboard,
      codec: requestCodec,
      forwarder: this.#forwarder,
      timer,
      log,
      metrics: this.#metrics,
      holdings,
      random,
    });
    const limit = createConnectionLimit({
      maxConnections: maxClientConnections(settings),
      timer,
      log,
      metrics: this.#metrics,
    });
    this.#connections = new ClientConnections(
      this.#server.server,
      timer,
      {
        ...limit,
        onRejected: (error, socket) => this.#server.onRejected(error, socket),
        memory: holdings,
      },
    );
    this.#createStatusServers(rpc, holdings);
  }

  async start(): Promise<void> {
    const { settings, log } = this.#dependencies;
    log.event("daemonStarting", {
      availabilityZone: settings.availabilityZone,
    });
    this.#lifecycle.write("serving");
    for (const controller of this.#controllers) await controller.start();
    this.#stopForwarder = this.#forwarder.start();
    await listen(this.#server.server, settings.listen.clients);
    for (const [index, address] of listStatusAddresses(settings).entries()) {
      await listen(this.#statusServers[index]!, address);
    }
    log.event("daemonReady", {});
  }

  /** Applies settings that may change while the daemon runs. */
  applyLimits(limits: ForwardingLimits): void {
    this.#limits.write(limits);
  }

  /** Shuts down gracefully; returns the number of aborted requests. */
  async stop(): Promise<number> {
    const { timer, log, platform } = this.#dependencies;
    this.#lifecycle.write("draining");
    log.event("daemonStopping", { running: this.#forwarder.inFlightCount });
    const abortedRequests = await shutDownGracefully({
      connections: this.#connections,
      timer,
      shutdownLimitMs: this.#blackboard.limits.read().shutdownLimitMs,
      abortInFlight: () => this.#forwarder.abortAll(),
    });
    if (abortedRequests > 0) {
      log.event("requestsCut", { requests: abortedRequests });
    }
    this.#stopForwarder();
    this.#pool.close();
    this.#lifecycle.write("stopped");
    for (const controller of this.#controllers) await controller.stop();
    await platform.store.close();
    log.event("daemonStopped", { cut: abortedRequests });
    return abortedRequests;
  }

  /**
   * Resets each connection whose end would hide a truncated response. Called
   * when the process exits.
   */
  resetTruncated(): void {
    this.#connections.resetTruncated();
  }

  /** Stops immediately and aborts all requests; for tests. */
  close(): void {
    this.#stopForwarder();
    this.#forwarder.abortAll();
    this.#pool.close();
    this.#lifecycle.write("stopped");
    this.#connections.stopAccepting();
    void this.#connections.closeAll();
    for (const server of this.#statusServers) {
      server.close();
      server.closeAllConnections();
    }
    for (const controller of this.#controllers) void controller.stop();
    void this.#dependencies.platform.store.close();
  }

  #createStatusServers(rpc: JSONRPCServer, holdings: ByteHoldings): void {
    const { settings, platform, timer, log } = this.#dependencies;
    for (const _ of listStatusAddresses(settings)) {
      this.#statusServers.push(createStatusServer({
        blackboard: this.#blackboard,
        metrics: this.#metrics,
        controllers: this.#controllers,
        rpc,
        holdings,
        timer,
        log,
        readinessPath: platform.readinessPath,
        maxConnections: maxControlConnections(settings),
      }));
    }
  }
}
