import {
  CacheEstimates,
  type Candidate,
  hash32,
  type RegisteredTarget,
  TargetRecord,
  type TimerService,
} from "@coltsfootford/core";
import type { ForwardingBlackboard } from "./forwarding_blackboard.ts";
import { TargetConnections } from "./target_connections.ts";

/** One incarnation of a target with its connections. */
export interface PooledTarget extends Candidate {
  readonly connections: TargetConnections;
}

/** The targets on the blackboard, each with its record and its connections. */
export class TargetPool {
  readonly cacheEstimates = new CacheEstimates();
  readonly #blackboard: ForwardingBlackboard;
  readonly #timer: TimerService;
  readonly #byIncarnation = new Map<string, PooledTarget>();
  /** Targets that left recently, from which others may still fetch KV cache. */
  readonly #departed = new Map<
    string,
    { readonly pooled: PooledTarget; readonly untilMs: number }
  >();
  #byService = new Map<string, PooledTarget[]>();

  constructor(blackboard: ForwardingBlackboard, timer: TimerService) {
    this.#blackboard = blackboard;
    this.#timer = timer;
    blackboard.targets.subscribe((targets) => this.#update(targets ?? []));
  }

  /** The targets of a service that may receive requests. */
  ofService(service: string): readonly PooledTarget[] {
    return this.#byService.get(service) ?? [];
  }

  /** Targets of a service that left recently and still serve their KV cache. */
  departedOf(service: string): readonly PooledTarget[] {
    const nowMs = this.#timer.nowMs();
    const departed: PooledTarget[] = [];
    for (const { pooled, untilMs } of this.#departed.values()) {
      if (pooled.target.service !== service || nowMs > untilMs) continue;
      departed.push(pooled);
    }
    return departed;
  }

  /** The target incarnation, if it may receive requests. */
  find(incarnation: string): PooledTarget | undefined {
    return this.#byIncarnation.get(incarnation);
  }

  /** All targets that may receive requests. */
  all(): Iterable<PooledTarget> {
    return this.#byIncarnation.values();
  }

  /** Closes idle connections now, and the others once they are idle. */
  close(): void {
    for (const { connections } of this.all()) connections.retire();
  }

  #update(targets: readonly RegisteredTarget[]): void {
    const present = new Set(targets.map((target) => target.incarnation));
    for (const [incarnation, pooled] of this.#byIncarnation) {
      if (present.has(incarnation)) continue;
      this.#byIncarnation.delete(incarnation);
      pooled.connections.retire();
      this.#departed.set(incarnation, {
        pooled,
        untilMs: this.#timer.nowMs() +
          this.#blackboard.limits.read().targetLeaveMs,
      });
    }
    this.#removeExpiredDepartures();
    this.cacheEstimates.keepOnly(present);
    this.#byService = new Map();
    for (const target of targets) this.#add(target);
  }

  #removeExpiredDepartures(): void {
    const nowMs = this.#timer.nowMs();
    for (const [incarnation, { untilMs }] of this.#departed) {
      if (nowMs > untilMs) this.#departed.delete(incarnation);
    }
  }

  #add(target: RegisteredTarget): void {
    const existing = this.#byIncarnation.get(target.incarnation);
    const hasMoved = existing?.target.host !== target.host ||
      existing.target.port !== target.port;
    if (existing && hasMoved) existing.connections.retire();
    const pooled: PooledTarget = {
      target,
      record: existing?.record ?? new TargetRecord(),
      incarnationHash: hash32(target.incarnation),
      connections: existing && !hasMoved
        ? existing.connections
        : new TargetConnections(),
    };
    this.#byIncarnation.set(target.incarnation, pooled);
    const siblings = this.#byService.get(target.service) ?? [];
    siblings.push(pooled);
    this.#byService.set(target.service, siblings);
  }
}
