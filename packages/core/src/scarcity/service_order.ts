import type { SlotRequest } from "./slot_request.ts";

/** The properties of a request that determine its place in an order. */
export type OrderedRequest = Pick<
  SlotRequest,
  "rank" | "team" | "expectedWorkMs" | "objectiveAtMs" | "deadlineAtMs"
>;

/** The state of the target that determines an order. */
export interface OrderConditions {
  readonly nowMs: number;
  /** Duration of an execution, divided by its expected work. */
  readonly durationFactor: number;
  /** Time that the target needs for all waiting requests. */
  readonly backlogMs: number;
}

/** What a request can still achieve if it executes now. */
export enum Attainable {
  Nothing,
  Deadline,
  Objective,
}

/** The place of a request in an order. */
export interface Precedence {
  /** Compared first; the higher value goes first. */
  readonly attainable: Attainable;
  /** Compared second; the higher value goes first. */
  readonly urgency: number;
}

/** The order in which waiting requests are served and rejected. */
export abstract class ServiceOrder {
  /** Whether a team or kind that is hardly served goes before the others. */
  abstract readonly isAging: boolean;

  /** Requests of the same precedence are served in the order of arrival. */
  abstract precedence(
    request: OrderedRequest,
    conditions: OrderConditions,
  ): Precedence;

  /**
   * What the rejection of the request costs. A full line rejects the lowest,
   * and of several the newest.
   */
  abstract rejectionCost(
    request: OrderedRequest,
    conditions: OrderConditions,
  ): number;
}

/** A request is worth twice as much as one of the next rank. */
const RANK_STEP = Math.LN2;
/** Limits the influence of ranks on costs, which are compared as logarithms. */
const MAX_RANK = 32;
/**
 * What a response after its objective is worth, of one in time. The
 * configuration does not state it.
 */
const LATE_VALUE = 0.5;
/**
 * Requests with more slack than this multiple of the backlog are equal in that
 * respect; rank and work determine their order.
 */
const MAX_DISCOUNT = 50;
/** Avoids infinite values for requests without expected work. */
const MIN_DURATION_MS = 1;

/**
 * Serves requests by what their delay costs for each ms of the target: the rule
 * of apparent tardiness cost (Vepsalainen and Morton, 1987). The cost of a
 * delay decreases exponentially with the slack of the request, in units of the
 * backlog, so that requests which can wait do so. Requests that can meet their
 * objective go before those that are late anyhow.
 */
export class CostOrder extends ServiceOrder {
  override readonly isAging = true;

  override precedence(
    request: OrderedRequest,
    conditions: OrderConditions,
  ): Precedence {
    const durationMs = request.expectedWorkMs * conditions.durationFactor;
    const endAtMs = conditions.nowMs + durationMs;
    const attainable = attainableAt(request, endAtMs);
    const slackMs = attainable === Attainable.Objective
      ? request.objectiveAtMs - endAtMs
      : Math.max(0, request.deadlineAtMs - endAtMs);
    const horizonMs = Math.max(conditions.backlogMs, MIN_DURATION_MS);
    const discount = Math.min(MAX_DISCOUNT, slackMs / horizonMs);
    return { attainable, urgency: costPerWork(request) - discount };
  }

  override rejectionCost(
    request: OrderedRequest,
    conditions: OrderConditions,
  ): number {
    const durationMs = request.expectedWorkMs * conditions.durationFactor;
    const attainable = attainableAt(request, conditions.nowMs + durationMs);
    if (attainable === Attainable.Nothing) return -Infinity;
    const value = attainable === Attainable.Objective ? 1 : LATE_VALUE;
    return costPerWork(request) + Math.log(value);
  }
}

/** Is negative if `left` is served before `right`, as in sorting. */
export function comparePrecedence(left: Precedence, right: Precedence): number {
  return right.attainable - left.attainable || right.urgency - left.urgency;
}

/** What a response that ends at `endAtMs` achieves. */
function attainableAt(request: OrderedRequest, endAtMs: number): Attainable {
  if (endAtMs <= request.objectiveAtMs) return Attainable.Objective;
  if (endAtMs <= request.deadlineAtMs) return Attainable.Deadline;
  return Attainable.Nothing;
}

/** Logarithm of the cost of a missing response for each ms of work. */
function costPerWork(request: OrderedRequest): number {
  const workMs = Math.max(request.expectedWorkMs, MIN_DURATION_MS);
  return -Math.min(request.rank, MAX_RANK) * RANK_STEP - Math.log(workMs);
}
