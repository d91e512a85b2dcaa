import {
  CacheBeliefs,
  type Candidate,
  type RosterTarget,
  TargetRecord,
} from "@coltsfootford/core";
import type { ForwardingBoard } from "./board.ts";
import { TargetConnections } from "./target_connections.ts";

/** One incarnation of a target with what belongs to it. */
export interface PooledTarget extends Candidate {
  readonly connections: TargetConnections;
}

/** The targets on the board, each with its record and its connections. */
export class TargetPool {
  readonly beliefs = new CacheBeliefs();
  readonly #byIncarnation = new Map<string, PooledTarget>();
  #byService = new Map<string, PooledTarget[]>();

  constructor(board: ForwardingBoard) {
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
    };
    this.#byIncarnation.set(target.incarnation, pooled);
    const siblings = this.#byService.get(target.service) ?? [];
    siblings.push(pooled);
    this.#byService.set(target.service, siblings);
  }
}
