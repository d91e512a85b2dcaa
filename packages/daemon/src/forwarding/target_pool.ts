import {
  CacheBeliefs,
  type Candidate,
  findSettled,
  type RosterTarget,
  TargetRecord,
  type TimerService,
} from "@coltsfootford/core";
import type { ForwardingBoard } from "./board.ts";
import { TargetConnections } from "./target_connections.ts";

/** One incarnation of a target with what belongs to it. */
export interface PooledTarget extends Candidate {
  readonly connections: TargetConnections;
  isSettled: boolean;
}

/** How often targets that have grown old enough become homes. */
const SETTLE_PERIOD_MS = 1_000;

/** The targets on the board, each with its record and its connections. */
export class TargetPool {
  readonly beliefs = new CacheBeliefs();
  readonly #timer: TimerService;
  readonly #byIncarnation = new Map<string, PooledTarget>();
  #byService = new Map<string, PooledTarget[]>();
  readonly #cancel: () => void;

  constructor(board: ForwardingBoard, timer: TimerService) {
    this.#timer = timer;
    this.#cancel = timer.every(SETTLE_PERIOD_MS, () => this.#settle());
    board.targets.subscribe((targets) => this.#update(targets ?? []));
  }

  /** The targets of a service that may be sent work. */
  ofService(service: string): readonly PooledTarget[] {
    return this.#byService.get(service) ?? [];
  }

  /** All targets that may be sent work. */
  all(): Iterable<PooledTarget> {
    return this.#byIncarnation.values();
  }

  /** Closes the connections that are idle, and the others when they are. */
  close(): void {
    this.#cancel();
    for (const { connections } of this.all()) connections.retire();
  }

  #update(targets: readonly RosterTarget[]): void {
    const present = new Set(targets.map((target) => target.incarnation));
    for (const [incarnation, pooled] of this.#byIncarnation) {
      if (present.has(incarnation)) continue;
      this.#byIncarnation.delete(incarnation);
      pooled.connections.retire();
    }
    this.beliefs.keepOnly(present);
    this.#byService = new Map();
    for (const target of targets) this.#add(target);
    this.#settle();
  }

  #settle(): void {
    const wallClockMs = this.#timer.wallClockMs();
    for (const siblings of this.#byService.values()) {
      const targets = siblings.map(({ target }) => target);
      const settled = findSettled(targets, wallClockMs);
      for (const pooled of siblings) {
        pooled.isSettled = settled.has(pooled.target.incarnation);
      }
    }
  }

  #add(target: RosterTarget): void {
    const known = this.#byIncarnation.get(target.incarnation);
    const isMoved = known?.target.host !== target.host ||
      known.target.port !== target.port;
    if (known && isMoved) known.connections.retire();
    const pooled: PooledTarget = {
      target,
      record: known?.record ?? new TargetRecord(),
      connections: known && !isMoved
        ? known.connections
        : new TargetConnections(),
      isSettled: known?.isSettled ?? false,
    };
    this.#byIncarnation.set(target.incarnation, pooled);
    const siblings = this.#byService.get(target.service) ?? [];
    siblings.push(pooled);
    this.#byService.set(target.service, siblings);
  }
}
