/**
 * A request for a slot of a contended target. All times are of the owner's
 * clock; the expected work must be finite and not negative.
 */
export interface SlotRequest {
  readonly id: string;
  /** The team's rank takes precedence over the route's; 0 is most urgent. */
  readonly rank: number;
  readonly team: string | undefined;
  readonly deadlineAtMs: number;
  /** Until when the response earns its full value. */
  readonly objectiveAtMs: number;
  /** Duration of the execution on a target that works at its usual speed. */
  readonly expectedWorkMs: number;
  readonly mayWaitUntilMs: number;
}

/** The answer to a `SlotRequest`. */
export type SlotDecision =
  | { readonly kind: "execute" }
  | { readonly kind: "wait"; readonly untilMs: number }
  | { readonly kind: "reject"; readonly retryAfterMs: number };

/** A waiting request that is rejected. */
export interface SlotRejection {
  readonly id: string;
  readonly retryAfterMs: number;
}

/** Waits that have ended, with the outcome of each. */
export interface EndedWaits {
  readonly execute: string[];
  readonly reject: SlotRejection[];
}
