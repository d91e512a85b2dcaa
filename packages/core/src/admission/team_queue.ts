import {
  comparePrecedence,
  CostOrder,
  type OrderConditions,
  type OrderedRequest,
} from "../scarcity/index.ts";
import { TeamDemand } from "./team_demand.ts";

/** A request that waits for capacity of a pool. */
export interface QueuedRequest {
  readonly requestId: string;
  readonly team: string;
  /** Weight of the team's share. */
  readonly weight: number;
  /** 0 is the lowest priority, 9 the highest. */
  readonly priority: number;
  /** Maximum number of running requests of the team in this daemon. */
  readonly maxTeamRunning: number;
  /** Deadline of the request in monotonic time. */
  readonly deadlineMs: number;
}

const HIGHEST_PRIORITY = 9;
const ORDER = new CostOrder();
/** Without expected work and objectives, the order does not depend on these. */
const CONDITIONS: OrderConditions = {
  nowMs: 0,
  durationFactor: 1,
  backlogMs: 0,
};

/**
 * The queued requests of one team, in the order of `CostOrder`. Only priorities
 * differ, because the queue promises priority and then arrival, so neither the
 * work nor the deadline of a request counts.
 */
export class TeamQueue {
  weight: number;
  running = 0;
  lastArrivalMs = 0;
  readonly demand = new TeamDemand();
  /**
   * Virtual time at which the team's next request is due: the finish time of
   * its last one.
   */
  finishTag = 0;
  #queued = 0;
  /** Requests by priority; each set is in order of arrival. */
  readonly #byPriority = new Map<number, Set<QueuedRequest>>();

  constructor(weight: number) {
    this.weight = weight;
  }

  get queued(): number {
    return this.#queued;
  }

  add(request: QueuedRequest): void {
    let level = this.#byPriority.get(request.priority);
    if (!level) {
      level = new Set();
      this.#byPriority.set(request.priority, level);
    }
    level.add(request);
    this.#queued += 1;
  }

  remove(request: QueuedRequest): boolean {
    const level = this.#byPriority.get(request.priority);
    if (!level?.delete(request)) return false;
    if (level.size === 0) this.#byPriority.delete(request.priority);
    this.#queued -= 1;
    return true;
  }

  /** Returns the oldest request of the highest priority. */
  first(): QueuedRequest | undefined {
    const highest = this.#findPriority((left, right) =>
      comparePrecedence(
        ORDER.precedence(asOrdered(left), CONDITIONS),
        ORDER.precedence(asOrdered(right), CONDITIONS),
      )
    );
    if (highest === undefined) return undefined;
    return this.#byPriority.get(highest)?.values().next().value;
  }

  /** Removes the newest request of the lowest priority. */
  removeNewest(): QueuedRequest | undefined {
    const lowest = this.#findPriority((left, right) =>
      ORDER.rejectionCost(asOrdered(left), CONDITIONS) -
      ORDER.rejectionCost(asOrdered(right), CONDITIONS)
    );
    if (lowest === undefined) return undefined;
    let newest: QueuedRequest | undefined;
    for (const request of this.#byPriority.get(lowest) ?? []) newest = request;
    if (newest) this.remove(newest);
    return newest;
  }

  removeExpired(nowMs: number): QueuedRequest[] {
    const expired: QueuedRequest[] = [];
    for (const level of this.#byPriority.values()) {
      for (const request of level) {
        if (request.deadlineMs <= nowMs) expired.push(request);
      }
    }
    for (const request of expired) this.remove(request);
    return expired;
  }

  /** Returns the first priority in the order of `compare`. */
  #findPriority(
    compare: (left: number, right: number) => number,
  ): number | undefined {
    let first: number | undefined;
    for (const priority of this.#byPriority.keys()) {
      if (first === undefined || compare(priority, first) < 0) first = priority;
    }
    return first;
  }
}

function asOrdered(priority: number): OrderedRequest {
  return {
    rank: HIGHEST_PRIORITY - priority,
    team: undefined,
    expectedWorkMs: 0,
    objectiveAtMs: Infinity,
    deadlineAtMs: Infinity,
  };
}
