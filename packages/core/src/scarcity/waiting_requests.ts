import type { GroupedRequest, ServedShares } from "./served_shares.ts";
import {
  Attainable,
  comparePrecedence,
  type OrderConditions,
  type Precedence,
  type ServiceOrder,
} from "./service_order.ts";

/** A request in the line. */
export interface WaitingRequest extends GroupedRequest {
  /** When the daemon that asked no longer waits for an answer. */
  readonly untilMs: number;
  readonly arrivedAtMs: number;
  readonly expectedWaitAtArrivalMs: number;
}

/** Exceeds the logarithms of all other costs. */
const BEHIND_COST = 1_000;

/** The place of a request in the line at one moment. */
interface Place extends Precedence {
  /** Whether the team or the kind goes first because it is hardly served. */
  readonly isBehind: boolean;
}

/** The bounded set of waiting requests, in the order of their arrival. */
export class WaitingRequests {
  readonly #order: ServiceOrder;
  readonly #shares: ServedShares;
  readonly #requests = new Map<string, WaitingRequest>();
  #workSumMs = 0;

  constructor(order: ServiceOrder, shares: ServedShares) {
    this.#order = order;
    this.#shares = shares;
  }

  get size(): number {
    return this.#requests.size;
  }

  /** Expected work of all waiting requests. */
  get workSumMs(): number {
    return this.#workSumMs;
  }

  get(id: string): WaitingRequest | undefined {
    return this.#requests.get(id);
  }

  add(waiting: WaitingRequest): void {
    this.#requests.set(waiting.request.id, waiting);
    this.#workSumMs += waiting.request.expectedWorkMs;
  }

  remove(id: string): WaitingRequest | undefined {
    const waiting = this.#requests.get(id);
    if (!waiting) return undefined;
    this.#requests.delete(id);
    this.#workSumMs = this.size === 0
      ? 0
      : this.#workSumMs - waiting.request.expectedWorkMs;
    return waiting;
  }

  /** Returns the work of the requests that go before a new one. */
  ahead(
    request: GroupedRequest,
    conditions: OrderConditions,
  ): { requests: number; workMs: number } {
    const place = this.#placeOf(request, conditions);
    let requests = 0;
    let workMs = 0;
    for (const other of this.#requests.values()) {
      const otherPlace = this.#placeOf(other, conditions);
      if (comparePlaces(otherPlace, place) > 0) continue;
      requests += 1;
      workMs += other.request.expectedWorkMs;
    }
    return { requests, workMs };
  }

  /** Returns all requests in the order in which they are served. */
  inOrder(conditions: OrderConditions): WaitingRequest[] {
    return [...this.#requests.values()]
      .map((waiting) => ({
        waiting,
        place: this.#placeOf(waiting, conditions),
      }))
      .sort((left, right) => comparePlaces(left.place, right.place))
      .map(({ waiting }) => waiting);
  }

  /**
   * Returns the request to serve next. With `isAgingDue`, one whose team or
   * kind is hardly served goes first.
   */
  next(
    conditions: OrderConditions,
    isAgingDue: boolean,
  ): { waiting: WaitingRequest; isBehind: boolean } | undefined {
    let next: { waiting: WaitingRequest; place: Place } | undefined;
    for (const waiting of this.#requests.values()) {
      const place = this.#placeOf(waiting, conditions);
      const order = next && isAgingDue
        ? comparePlaces(place, next.place)
        : next && comparePrecedence(place, next.place);
      if (order === undefined || order < 0) next = { waiting, place };
    }
    return next && { waiting: next.waiting, isBehind: next.place.isBehind };
  }

  #placeOf(request: GroupedRequest, conditions: OrderConditions): Place {
    const { attainable, urgency } = this.#order.precedence(
      request.request,
      conditions,
    );
    const isBehind = this.#order.isAging &&
      attainable !== Attainable.Nothing &&
      this.#shares.isBehind(request);
    return { attainable, urgency, isBehind };
  }

  /**
   * Returns the request whose rejection costs least, among the waiting requests
   * and the new one.
   */
  cheapest(
    newRequest: GroupedRequest,
    conditions: OrderConditions,
  ): GroupedRequest {
    let cheapest = newRequest;
    let lowestCost = this.rejectionCost(newRequest, conditions);
    for (const waiting of this.#requests.values()) {
      const cost = this.rejectionCost(waiting, conditions);
      if (cost >= lowestCost) continue;
      cheapest = waiting;
      lowestCost = cost;
    }
    return cheapest;
  }

  /** A team or kind that is hardly served is rejected last. */
  rejectionCost(request: GroupedRequest, conditions: OrderConditions): number {
    const isBehind = this.#order.isAging && this.#shares.isBehind(request);
    return this.#order.rejectionCost(request.request, conditions) +
      (isBehind ? BEHIND_COST : 0);
  }
}

function comparePlaces(left: Place, right: Place): number {
  return Number(right.isBehind) - Number(left.isBehind) ||
    comparePrecedence(left, right);
}
