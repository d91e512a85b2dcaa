import { decideAdmission, latestStartAtMs } from "./admission_decision.ts";
import type {
  EndedWaits,
  SlotDecision,
  SlotRejection,
  SlotRequest,
} from "./slot_request.ts";

/** Maximum number of waiting requests. */
const MAX_WAITING = 256;
/**
 * Requests at the target beyond its slots, as a share of them. They keep a slot
 * busy during the round trip between its release and the next execution.
 */
const TARGET_QUEUE_SHARE = 0.25;
/** An execution that is not released within this multiple of its expected
 * duration has been lost with its daemon. */
const EXECUTION_BOUND_FACTOR = 4;
/** Lower limit of the bound, because short executions vary more. */
const MIN_EXECUTION_BOUND_MS = 1_000;
const MAX_EXECUTION_BOUND_MS = 60_000;

/**
 * The line of one contended target, kept by the owner of the target. Daemons
 * ask it for a slot before they forward a request and report the end of each
 * execution.
 */
export class SlotLine {
  #slots: number;
  #slowdown = 1;
  readonly #waiting = new Map<string, SlotRequest>();
  /** Executing requests with the time after which they count as lost. */
  readonly #boundAtMs = new Map<string, number>();

  constructor(slots: number, _nowMs: number) {
    this.#slots = slots;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get executing(): number {
    return this.#boundAtMs.size;
  }

  /**
   * Decides on a request; `wait` puts it in the line. A repeated request gets
   * the same decision again. A waiting request that is rejected in favour of
   * this one is returned by the next call of `expire`.
   */
  request(request: SlotRequest, nowMs: number): SlotDecision {
    if (this.#boundAtMs.has(request.id)) return { kind: "execute" };
    const durationMs = request.expectedWorkMs * this.#slowdown;
    let aheadMs = 0;
    for (const other of this.#waiting.values()) aheadMs += other.expectedWorkMs;
    const expectedWaitMs = (aheadMs + request.expectedWorkMs) *
      this.#slowdown / this.#maxExecuting;
    const decision = decideAdmission(request, {
      freeSlots: this.#maxExecuting - this.executing,
      waitingAhead: this.waiting,
      expectedWaitMs,
      expectedDurationMs: durationMs,
      isCheapestOfFullLine: this.waiting >= MAX_WAITING,
      retryAfterMs: this.#retryAfterMs(request, nowMs),
    }, nowMs);
    if (decision.kind === "execute") this.#start(request, nowMs);
    if (decision.kind === "wait") this.#waiting.set(request.id, request);
    return decision;
  }

  /** An execution has ended. Returns the ids that may execute now. */
  release(id: string, nowMs: number): string[] {
    this.#boundAtMs.delete(id);
    return this.#startWaiting(nowMs);
  }

  /**
   * Ends waits that are over and slots that were never released. Returns the
   * ids to execute and to reject.
   */
  expire(nowMs: number): EndedWaits {
    for (const [id, boundAtMs] of this.#boundAtMs) {
      if (boundAtMs <= nowMs) this.#boundAtMs.delete(id);
    }
    const reject: SlotRejection[] = [];
    for (const [id, request] of this.#waiting) {
      const durationMs = request.expectedWorkMs * this.#slowdown;
      if (latestStartAtMs(request, durationMs) > nowMs) continue;
      this.#waiting.delete(id);
      reject.push({ id, retryAfterMs: this.#retryAfterMs(request, nowMs) });
    }
    return { execute: this.#startWaiting(nowMs), reject };
  }

  /**
   * Ends the wait or the execution of a request whose client has disconnected.
   * A slot that becomes free is given out by the next call of `expire` or
   * `release`.
   */
  cancel(id: string): void {
    this.#waiting.delete(id);
    this.#boundAtMs.delete(id);
  }

  /**
   * Sets the slots of the target and how much slower it works now (1: as
   * usual). Slots that become free are given out by the next call of `expire`.
   */
  setCapacity(slots: number, slowdown: number): void {
    this.#slots = slots;
    this.#slowdown = slowdown;
  }

  get #maxExecuting(): number {
    return this.#slots + Math.ceil(this.#slots * TARGET_QUEUE_SHARE);
  }

  #startWaiting(nowMs: number): string[] {
    const started: string[] = [];
    for (const [id, request] of this.#waiting) {
      if (this.executing >= this.#maxExecuting) break;
      this.#waiting.delete(id);
      this.#start(request, nowMs);
      started.push(id);
    }
    return started;
  }

  #start(request: SlotRequest, nowMs: number): void {
    const boundMs = EXECUTION_BOUND_FACTOR * request.expectedWorkMs *
      this.#slowdown;
    this.#boundAtMs.set(
      request.id,
      nowMs + Math.min(
        MAX_EXECUTION_BOUND_MS,
        Math.max(MIN_EXECUTION_BOUND_MS, boundMs),
      ),
    );
  }

  #retryAfterMs(request: SlotRequest, nowMs: number): number {
    return Math.max(0, request.deadlineAtMs - nowMs) / 3;
  }
}
