import type { SlotDecision, SlotRequest } from "./slot_request.ts";

/** What the line of a target knows about the place of one request in it. */
export interface AdmissionView {
  /** Executions that may begin now. */
  readonly freeSlots: number;
  /** Waiting requests that go before this one. */
  readonly waitingAhead: number;
  /** Expected wait of the request; infinite if the target has no slots. */
  readonly expectedWaitMs: number;
  /** Expected duration of the execution at the target's present speed. */
  readonly expectedDurationMs: number;
  /**
   * Whether the line is full and the rejection of each waiting request costs
   * more than the rejection of this one.
   */
  readonly isCheapestOfFullLine: boolean;
  /** Returns the retry time of the request if it is rejected. */
  readonly planRetryMs: () => number;
}

/**
 * Decides on a request for a slot. A request executes while a slot is free, and
 * is rejected at once if its expected wait exceeds its time.
 */
export function decideAdmission(
  request: SlotRequest,
  view: AdmissionView,
  nowMs: number,
): SlotDecision {
  if (request.deadlineAtMs <= nowMs) return reject(view);
  if (view.waitingAhead < view.freeSlots) return { kind: "execute" };
  if (view.isCheapestOfFullLine) return reject(view);
  const untilMs = latestStartAtMs(request, view.expectedDurationMs);
  if (nowMs + view.expectedWaitMs >= untilMs) return reject(view);
  return { kind: "wait", untilMs };
}

function reject(view: AdmissionView): SlotDecision {
  return { kind: "reject", retryAfterMs: view.planRetryMs() };
}

/**
 * The latest start with which the response can arrive before the deadline. A
 * request does not wait longer than that.
 */
export function latestStartAtMs(
  request: SlotRequest,
  expectedDurationMs: number,
): number {
  return Math.min(
    request.mayWaitUntilMs,
    request.deadlineAtMs - expectedDurationMs,
  );
}
