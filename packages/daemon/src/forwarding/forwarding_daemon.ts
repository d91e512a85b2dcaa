import { createServer, type Server } from "node:http";
import { getRequestListener } from "@hono/node-server";
import { JSONRPCServer } from "json-rpc-2.0";
import { RetryShares, type TimerService } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import type { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import { Metrics } from "../metrics/index.ts";
import { ConnectionDrain } from "../shutdown/index.ts";
import {
  createForwardingBlackboard,
  type PeerDaemon,
} from "./forwarding_blackboard.ts";
import { Forwarder } from "./forwarder.ts";
import { ForwardingServer } from "./forwarding_server.ts";
import {
  type KnowledgeCodec,
  PeerKnowledgeController,
  PeersController,
  QuarantineController,
  RoutesController,
  StoreContactController,
  StoreFollowerController,
  TargetRegistryController,
} from "./knowledge/index.ts";
import type { RequestCodec } from "./request_codec.ts";
import type {
  Address,
  ForwardingLimits,
  ForwardingSettings,
} from "./settings.ts";
import { shutDownGracefully } from "./shutdown.ts";
import { createStatusApp } from "./status_app.ts";
import { TargetPool } from "./target_pool.ts";

/**
 * Prompt tokens that an engine is assumed to read in a ms, in the order of
 * today's engines of the users (see their sheets).
 */
const PROMPT_TOKENS_PER_MS = 50;

/** What a platform gives a daemon. */
export interface ForwardingPlatform {
  readonly requestCodec: RequestCodec;
  readonly knowledgeCodec: KnowledgeCodec;
  readonly store: KeyValueClient;
  readonly readinessPath: string;
}

/** What a daemon is built from. */
export interface ForwardingDaemonParts {
  readonly settings: ForwardingSettings;
  readonly platform: ForwardingPlatform;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly random: () => number;
}

/** A daemon that forwards requests, from its start to its end. */
export class ForwardingDaemon {
  readonly #parts: ForwardingDaemonParts;
  readonly #blackboard;
  readonly #lifecycle;
  readonly #limits;
  readonly #metrics = new Metrics();
  readonly #controllers: readonly Controller[];
  readonly #pool: TargetPool;
  readonly #forwarder: Forwarder;
  readonly #server: ForwardingServer;
  readonly #drain: ConnectionDrain;
  readonly #statusServers: Server[] = [];
  #stopForwarder: () => void = () => {};

  constructor(parts: ForwardingDaemonParts) {
    this.#parts = parts;
    const { settings, platform, timer, log, random } = parts;
    const { requestCodec, knowledgeCodec, store } = platform;
    const blackboard = createForwardingBlackboard(settings.limits);
    this.#blackboard = blackboard;
    this.#lifecycle = blackboard.lifecycle.claimWriter("daemon");
    this.#limits = blackboard.limits.claimWriter("daemon");
    const rpc = new JSONRPCServer();
    const self = describeSelf(settings);
    const routes = new RoutesController(blackboard, knowledgeCodec, log);
    const registry = new TargetRegistryController(
      blackboard,
      knowledgeCodec,
      timer,
      log,
    );
    const peers = new PeersController(self, blackboard, store, timer, log);
    const quarantine = new QuarantineController({
      self,
      blackboard: blackboard,
      store,
      rpc,
      timer,
      log,
    });
    const peerKnowledge = new PeerKnowledgeController({
      rpc,
      blackboard: blackboard,
      followed: [routes.followed, registry.followed, quarantine.followed],
      seeds: settings.seeds
        .map(({ host, port }) => ({ name: `${host}:${port}`, host, port }))
        .filter(({ host }) => host !== self.host),
      timer,
      log,
      random,
    });
    const pool = new TargetPool(blackboard, timer);
    this.#pool = pool;
    this.#controllers = [
      new StoreContactController(blackboard, store, timer, log),
      routes,
      registry,
      peers,
      quarantine,
      peerKnowledge,
      new StoreFollowerController({
        store,
        followed: [
          routes.followed,
          registry.followed,
          peers.followed,
          quarantine.followed,
        ],
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
        maxLoadFactor: blackboard.limits.read().maxLoadFactor,
        promptTokensPerMs: PROMPT_TOKENS_PER_MS,
      }),
      repeats: new RetryShares(
        () => {
          const { repeatRatio, repeatSlack } = blackboard.limits.read();
          return { ratio: repeatRatio, slack: repeatSlack };
        },
        () => blackboard.peers.read().length + 1,
      ),
      crashes: quarantine,
      random,
    });
    this.#server = new ForwardingServer({
      blackboard: blackboard,
      codec: requestCodec,
      forwarder: this.#forwarder,
      timer,
      log,
      metrics: this.#metrics,
      random,
    });
    this.#drain = new ConnectionDrain(this.#server.server, timer);
    this.#createStatusServers(rpc);
  }

  async start(): Promise<void> {
    const { settings, log } = this.#parts;
    log.event("daemonStarting", {
      availabilityZone: settings.availabilityZone,
    });
    this.#lifecycle.write("serving");
    for (const controller of this.#controllers) await controller.start();
    this.#stopForwarder = this.#forwarder.start();
    await listen(this.#server.server, settings.listen.clients);
    const { readiness, peers, metrics } = settings.listen;
    const addresses = [readiness, peers, metrics];
    for (const [at, server] of this.#statusServers.entries()) {
      const address = addresses.filter((one) => one !== undefined)[at];
      if (address) await listen(server, address);
    }
    log.event("daemonReady", {});
  }

  /** Takes settings that may change while the daemon runs. */
  applyLimits(limits: ForwardingLimits): void {
    this.#limits.write(limits);
  }

  /** Ends gracefully; returns the number of requests that were cut. */
  async stop(): Promise<number> {
    const { timer, log, platform } = this.#parts;
    this.#lifecycle.write("draining");
    log.event("daemonStopping", { running: this.#forwarder.runningCount });
    const cut = await shutDownGracefully({
      drain: this.#drain,
      timer,
      shutdownLimitMs: this.#blackboard.limits.read().shutdownLimitMs,
      runningCount: () => this.#forwarder.runningCount,
    });
    if (cut > 0) log.event("requestsCut", { requests: cut });
    this.#stopForwarder();
    this.#pool.close();
    this.#lifecycle.write("stopped");
    for (const controller of this.#controllers) await controller.stop();
    await platform.store.close();
    log.event("daemonStopped", { cut });
    return cut;
  }

  /** Ends at once, whatever still runs; for tests. */
  close(): void {
    this.#stopForwarder();
    this.#pool.close();
    this.#lifecycle.write("stopped");
    this.#drain.stopAccepting();
    this.#drain.closeAll();
    for (const server of this.#statusServers) server.close();
    for (const server of this.#statusServers) server.closeAllConnections();
    for (const controller of this.#controllers) void controller.stop();
    void this.#parts.platform.store.close();
  }

  #createStatusServers(rpc: JSONRPCServer): void {
    const app = createStatusApp({
      blackboard: this.#blackboard,
      metrics: this.#metrics,
      controllers: this.#controllers,
      rpc,
      readinessPath: this.#parts.platform.readinessPath,
    });
    const { peers, metrics } = this.#parts.settings.listen;
    const count = 1 + Number(peers !== undefined) +
      Number(metrics !== undefined);
    for (let at = 0; at < count; at++) {
      this.#statusServers.push(createServer(getRequestListener(app.fetch)));
    }
  }
}

function describeSelf({ vm, listen }: ForwardingSettings): PeerDaemon {
  const { host, port } = listen.peers ?? listen.readiness;
  return { name: vm, host, port };
}

function listen(server: Server, { host, port }: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
