import {
  type CancelTimer,
  type ColdChange,
  coldLimit,
  type ColdTarget,
  ColdTargets,
  isLoadReporter,
  MAX_COLD_MS,
  type RegisteredTarget,
  type TimerService,
} from "@coltsfootford/core";
import { z } from "zod";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { Metrics } from "../../metrics/index.ts";
import type {
  ForwardingBlackboard,
  PeerDaemon,
} from "../forwarding_blackboard.ts";
import type { TargetPool } from "../target_pool.ts";
import type { FleetRelay } from "./fleet_relay.ts";
import type { RetainedFacts } from "./retained_facts.ts";

const TOPIC = "target.cold";
/** Bounds of settings that state none. */
const DEFAULT_OVERAGE = 1.5;
const DEFAULT_SLACK = 5;

const ColdTargetSchema = z.object({
  target: z.string(),
  coldLeftMs: z.number().positive().max(MAX_COLD_MS),
});

/** Learns of the targets that turn cold and of those that are warm again. */
export interface ColdListener {
  /** A target turned cold that this daemon knew as warm. */
  onTurnedCold(target: string): void;
  onWarm(target: string): void;
}

/** Dependencies of a `ColdTargetController`. */
export interface ColdTargetDependencies {
  readonly self: PeerDaemon;
  readonly blackboard: ForwardingBlackboard;
  readonly pool: TargetPool;
  readonly relay: FleetRelay;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Knows which targets are cold, from their registrations and responses and from
 * other daemons, and the limit that their service sets for them.
 */
export class ColdTargetController extends Controller implements RetainedFacts {
  override readonly name = "cold-targets";
  readonly topic = TOPIC;
  readonly #dependencies: ColdTargetDependencies;
  readonly #targets = new ColdTargets();
  readonly #cancelByTarget = new Map<string, CancelTimer>();
  #listener: ColdListener = { onTurnedCold: () => {}, onWarm: () => {} };

  constructor(dependencies: ColdTargetDependencies) {
    super();
    this.#dependencies = dependencies;
    const { relay, blackboard } = dependencies;
    relay.subscribe(
      TOPIC,
      ColdTargetSchema,
      (stated) => this.#recordStated(stated),
    );
    blackboard.targets.subscribe((targets) => this.#onTargets(targets ?? []));
    blackboard.routes.subscribe(() => this.#updateRecords());
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    for (const cancel of this.#cancelByTarget.values()) cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { cold: this.#targets.list(this.#nowMs()) };
  }

  subscribe(listener: ColdListener): void {
    this.#listener = listener;
  }

  /**
   * The targets that others know to be cold only by an announcement. What a
   * daemon reads of a registration at its start may be long past.
   */
  listFacts(): readonly ColdTarget[] {
    return this.#targets.listStated(this.#nowMs());
  }

  applyFact(fact: unknown): void {
    this.#recordStated(ColdTargetSchema.parse(fact));
  }

  /** The fleet-wide limit of a target, if it is cold and its service sets one. */
  limitOf(target: string): number | undefined {
    if (this.coldLeftMs(target) === undefined) return undefined;
    return this.#configuredLimitOf(target);
  }

  /** Time for which a target stays cold; undefined where it is warm. */
  coldLeftMs(target: string): number | undefined {
    const leftMs = (this.#targets.untilMs(target) ?? 0) - this.#nowMs();
    return leftMs > 0 ? leftMs : undefined;
  }

  /** A response of the target states for how long it stays cold. */
  onStated(target: string, coldLeftMs: number): void {
    const stated = { target, coldLeftMs };
    if (this.#recordStated(stated) !== "none") this.#announce(stated);
  }

  #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  #recordStated(stated: ColdTarget): ColdChange {
    const change = this.#targets.recordStated(stated, this.#nowMs());
    this.#apply(stated.target, change);
    return change;
  }

  #onTargets(targets: readonly RegisteredTarget[]): void {
    this.#targets.keepOnly(
      new Set(targets.map(({ incarnation }) => incarnation)),
    );
    for (const target of targets) {
      const change = this.#targets.recordRegistered(target, this.#nowMs());
      this.#apply(target.incarnation, change);
      // Daemons that have not read the registration yet send without permits. All
      // others read it at the same moment, so a few announce it.
      if (change === "turns" && this.#isAnnouncer(target.incarnation)) {
        const { incarnation, coldLeftMs } = target;
        this.#announce({ target: incarnation, coldLeftMs });
      }
    }
  }

  #isAnnouncer(incarnation: string): boolean {
    const { self, blackboard } = this.#dependencies;
    const peers = blackboard.peers.read().map(({ name }) => name);
    return isLoadReporter(incarnation, self.name, peers);
  }

  #announce(stated: ColdTarget): void {
    if (this.#configuredLimitOf(stated.target) === undefined) return;
    this.#dependencies.relay.announce(TOPIC, stated);
  }

  #apply(target: string, change: ColdChange): void {
    if (change === "none") return;
    const { log, metrics } = this.#dependencies;
    this.#updateRecord(target);
    this.#scheduleWarm(target);
    if (change !== "turns") return;
    if (this.#configuredLimitOf(target) === undefined) return;
    this.#listener.onTurnedCold(target);
    metrics.count("targets_turned_cold_total");
    const coldLeftMs = Math.round(this.coldLeftMs(target) ?? 0);
    log.event("targetTurnedCold", { target, coldLeftMs });
  }

  /** The wait for a permit of a target does not outlast its limit. */
  #scheduleWarm(target: string): void {
    this.#cancelByTarget.get(target)?.();
    this.#cancelByTarget.delete(target);
    const leftMs = this.coldLeftMs(target);
    if (leftMs === undefined) return;
    const cancel = this.#dependencies.timer.after(leftMs + 1, () => {
      this.#cancelByTarget.delete(target);
      this.#listener.onWarm(target);
    });
    this.#cancelByTarget.set(target, cancel);
  }

  #updateRecords(): void {
    for (const { target } of this.#dependencies.pool.all()) {
      this.#updateRecord(target.incarnation);
    }
  }

  #updateRecord(target: string): void {
    const pooled = this.#dependencies.pool.find(target);
    if (!pooled) return;
    const isLimited = this.#configuredLimitOf(target) !== undefined;
    const untilMs = isLimited ? this.#targets.untilMs(target) : undefined;
    pooled.record.coldUntilMs = untilMs ?? -Infinity;
  }

  #configuredLimitOf(target: string): number | undefined {
    const { blackboard, pool } = this.#dependencies;
    const service = pool.find(target)?.target.service;
    if (service === undefined) return undefined;
    const requestsPerSecond = blackboard.routes.read()?.findService(service)
      ?.coldRequestsPerSecond;
    if (requestsPerSecond === undefined) return undefined;
    const { coldOverage = DEFAULT_OVERAGE, coldSlack = DEFAULT_SLACK } =
      blackboard.limits.read();
    return coldLimit({
      requestsPerSecond,
      overage: coldOverage,
      slack: coldSlack,
    });
  }
}
