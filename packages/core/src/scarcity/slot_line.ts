import { decideAdmission, latestStartAtMs } from "./admission_decision.ts";
import { Executions } from "./executions.ts";
import { RetrySchedule, type ReturningRequest } from "./retry_schedule.ts";
import {
  type GroupedRequest,
  groupRequest,
  ServedShares,
} from "./served_shares.ts";
import {
  CostOrder,
  type OrderConditions,
  type ServiceOrder,
} from "./service_order.ts";
import type {
  EndedWaits,
  SlotDecision,
  SlotRejection,
  SlotRequest,
} from "./slot_request.ts";
import { type WaitingRequest, WaitingRequests } from "./waiting_requests.ts";

/** The order and the length of a `SlotLine`. */
export interface SlotLineSettings {
  readonly order: ServiceOrder;
  /** Maximum number of waiting requests. */
  readonly maxWaiting: number;
}

/** Bounds the memory of a line and the work of a decision. */
const MAX_WAITING = 64;
/**
 * Requests at the target beyond its slots, as a share of them. They keep a slot
 * busy during the round trip between its release and the next execution.
 */
const TARGET_QUEUE_SHARE = 0.25;
/**
 * Share of the executions for teams and kinds that are hardly served. A quarter
 * is enough for teams alone, and another one for kinds.
 */
const AGING_SHARE = 0.5;
/**
 * A waiting request is rejected before its time is over if it could not start
 * even with this share of its expected wait, since the expectation varies.
 */
const CERTAIN_WAIT_SHARE = 0.8;
/**
 * After this time, the expected wait of a request that others overtake follows
 * from its progress in the line.
 */
const MIN_PROGRESS_TIME_MS = 250;
/**
 * Limits the factor by which a lack of progress extends the expected wait.
 * Without a limit, a burst of 300 ms rejected requests with seconds left.
 */
const MAX_OVERTAKING_FACTOR = 8;

/**
 * The line of one contended target, kept by the owner of the target. Daemons
 * ask it for a slot before they forward a request and report the end of each
 * execution.
 */
export class SlotLine {
  readonly #order: ServiceOrder;
  readonly #maxWaiting: number;
  #slots: number;
  #slowdown = 1;
  readonly #shares = new ServedShares();
  readonly #waiting: WaitingRequests;
  readonly #executions = new Executions();
  readonly #retries = new RetrySchedule();
  /** Waiting requests rejected in favour of others, until `expire`. */
  #evicted: SlotRejection[] = [];
  /** Executions that may still go to teams and kinds that are hardly served. */
  #agingCredit = 1;

  constructor(
    slots: number,
    _nowMs: number,
    settings: Partial<SlotLineSettings> = {},
  ) {
    this.#slots = slots;
    this.#order = settings.order ?? new CostOrder();
    this.#maxWaiting = settings.maxWaiting ?? MAX_WAITING;
    this.#waiting = new WaitingRequests(this.#order, this.#shares);
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  /** Whether `expire` should be called now, for rejected waiting requests. */
  get hasRejections(): boolean {
    return this.#evicted.length > 0;
  }

  get executing(): number {
    return this.#executions.size;
  }

  /**
   * Decides on a request; `wait` puts it in the line. A repeated message gets
   * the same decision again. A waiting request that is rejected in favour of
   * this one is returned by the next call of `expire`, see `hasRejections`.
   */
  request(request: SlotRequest, nowMs: number): SlotDecision {
    if (this.#executions.has(request.id)) return { kind: "execute" };
    const known = this.#waiting.get(request.id);
    if (known) return { kind: "wait", untilMs: known.untilMs };
    const grouped = groupRequest(request, nowMs);
    const conditions = this.#conditions(nowMs);
    const ahead = this.#waiting.ahead(grouped, conditions);
    const cheapest = this.waiting >= this.#maxWaiting
      ? this.#waiting.cheapest(grouped, conditions)
      : undefined;
    const expectedWaitMs = this.#expectedWaitMs(ahead.workMs);
    const decision = decideAdmission(request, {
      freeSlots: this.#maxExecuting - this.executing,
      waitingAhead: ahead.requests,
      expectedWaitMs,
      expectedDurationMs: this.#durationMs(request),
      isCheapestOfFullLine: cheapest === grouped ||
        (cheapest !== undefined && this.#evicted.length >= this.#maxWaiting),
      planRetryMs: () => this.#planRetry(grouped, nowMs).retryAfterMs,
    }, nowMs);
    if (decision.kind === "execute") this.#start(grouped, nowMs);
    if (decision.kind === "reject") this.#reject(grouped, nowMs);
    if (decision.kind === "wait") {
      if (cheapest) this.#evict(cheapest, nowMs);
      this.#waiting.add({
        ...grouped,
        untilMs: decision.untilMs,
        arrivedAtMs: nowMs,
        expectedWaitAtArrivalMs: expectedWaitMs,
      });
    }
    return decision;
  }

  /** An execution has ended. Returns the ids that may execute now. */
  release(id: string, nowMs: number): string[] {
    this.#executions.end(id, nowMs);
    return this.#startWaiting(nowMs);
  }

  /**
   * Ends waits that are over or have become hopeless, and executions that were
   * never released. Returns the ids to execute and to reject.
   */
  expire(nowMs: number): EndedWaits {
    this.#executions.expire(nowMs);
    const execute = this.#startWaiting(nowMs);
    let aheadWorkMs = 0;
    for (const waiting of this.#waiting.inOrder(this.#conditions(nowMs))) {
      const waitMs = this.#remainingWaitMs(waiting, aheadWorkMs, nowMs);
      const certainAtMs = nowMs + waitMs * CERTAIN_WAIT_SHARE;
      if (certainAtMs < this.#latestStartAtMs(waiting)) {
        aheadWorkMs += waiting.request.expectedWorkMs;
      } else {
        this.#evict(waiting, nowMs);
      }
    }
    const reject = this.#evicted.filter(({ id }) => !this.#isKnown(id));
    this.#evicted = [];
    return { execute, reject };
  }

  /**
   * Ends the wait or the execution of a request whose client has disconnected.
   * A slot that becomes free is given out by the next call of `expire` or
   * `release`.
   */
  cancel(id: string): void {
    this.#waiting.remove(id);
    this.#executions.remove(id);
  }

  /**
   * Sets the slots of the target and how much slower it works now (1: as
   * usual). Slots that become free are given out by the next call of `expire`.
   */
  setCapacity(slots: number, slowdown: number): void {
    this.#slots = Math.max(0, slots);
    this.#slowdown = slowdown;
  }

  get #maxExecuting(): number {
    return this.#slots + Math.ceil(this.#slots * TARGET_QUEUE_SHARE);
  }

  get #durationFactor(): number {
    return this.#slowdown * this.#executions.durationRatio;
  }

  /** Whether the id waits or executes, perhaps after an earlier rejection. */
  #isKnown(id: string): boolean {
    return this.#executions.has(id) || this.#waiting.get(id) !== undefined;
  }

  #durationMs(request: SlotRequest): number {
    return request.expectedWorkMs * this.#durationFactor;
  }

  #latestStartAtMs({ request, untilMs }: WaitingRequest): number {
    const durationMs = this.#durationMs(request);
    return Math.min(untilMs, latestStartAtMs(request, durationMs));
  }

  /** Expected wait until a slot is free for a request behind this work. */
  #expectedWaitMs(aheadWorkMs: number): number {
    if (this.#maxExecuting === 0) return Infinity;
    const aheadMs = aheadWorkMs * this.#durationFactor;
    return (aheadMs + this.#executions.meanDurationMs) / this.#maxExecuting;
  }

  /**
   * Expected wait of a waiting request. If others overtake it, the wait is
   * longer than the work ahead suggests.
   */
  #remainingWaitMs(
    { arrivedAtMs, expectedWaitAtArrivalMs }: WaitingRequest,
    aheadWorkMs: number,
    nowMs: number,
  ): number {
    const waitMs = this.#expectedWaitMs(aheadWorkMs);
    const waitedMs = nowMs - arrivedAtMs;
    const minTimeMs = Math.max(MIN_PROGRESS_TIME_MS, expectedWaitAtArrivalMs);
    if (waitedMs < minTimeMs) return waitMs;
    const progressMs = Math.max(0, expectedWaitAtArrivalMs - waitMs);
    const factor = Math.min(MAX_OVERTAKING_FACTOR, waitedMs / progressMs);
    return waitMs * Math.max(1, factor);
  }

  #conditions(nowMs: number): OrderConditions {
    return {
      nowMs,
      durationFactor: this.#durationFactor,
      backlogMs: this.#expectedWaitMs(this.#waiting.workSumMs),
    };
  }

  #startWaiting(nowMs: number): string[] {
    const started: string[] = [];
    while (this.waiting > 0 && this.executing < this.#maxExecuting) {
      const isAgingDue = this.#agingCredit >= 1;
      const next = this.#waiting.next(this.#conditions(nowMs), isAgingDue);
      if (!next) break;
      const { waiting, isBehind } = next;
      if (this.#latestStartAtMs(waiting) <= nowMs) {
        this.#evict(waiting, nowMs);
        continue;
      }
      if (isAgingDue && isBehind) this.#agingCredit -= 1;
      this.#waiting.remove(waiting.request.id);
      this.#start(waiting, nowMs);
      started.push(waiting.request.id);
    }
    return started;
  }

  #start(grouped: GroupedRequest, nowMs: number): void {
    const { id, expectedWorkMs } = grouped.request;
    this.#executions.start(id, expectedWorkMs * this.#slowdown, nowMs);
    this.#retries.remove(id);
    this.#shares.recordServed(grouped, nowMs);
    this.#agingCredit = Math.min(1, this.#agingCredit + AGING_SHARE);
  }

  /** Rejects a waiting request. The next call of `expire` returns it. */
  #evict(grouped: GroupedRequest, nowMs: number): void {
    this.#waiting.remove(grouped.request.id);
    this.#evicted.push(this.#reject(grouped, nowMs));
  }

  #reject(grouped: GroupedRequest, nowMs: number): SlotRejection {
    const { request } = grouped;
    // A request without a real chance does not count as one that was refused.
    if (request.deadlineAtMs - nowMs > this.#durationMs(request)) {
      this.#shares.recordRejected(grouped, nowMs);
    }
    const { returning, retryAfterMs } = this.#planRetry(grouped, nowMs);
    this.#retries.add(returning, retryAfterMs, nowMs);
    return { id: request.id, retryAfterMs };
  }

  #planRetry(
    grouped: GroupedRequest,
    nowMs: number,
  ): { returning: ReturningRequest; retryAfterMs: number } {
    const { request } = grouped;
    const conditions = this.#conditions(nowMs);
    const returning = {
      id: request.id,
      cost: this.#waiting.rejectionCost(grouped, conditions),
      targetMs: this.#durationMs(request) / Math.max(1, this.#maxExecuting),
      leftMs: request.deadlineAtMs - nowMs,
    };
    const { backlogMs } = conditions;
    const retryAfterMs = this.#retries.plan(returning, backlogMs, nowMs);
    return { returning, retryAfterMs };
  }
}
