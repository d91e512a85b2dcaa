import type { RetryBudget } from "./retry_budget.ts";

/**
 * How an attempt at a target failed:
 *
 * - `not-sent`: no byte reached a target.
 * - `refused`: the target reported that it did not execute the request.
 * - `maybe-run`: the target may have executed the request. A failure on a
 *   reused idle connection is of this kind, because the target may have read
 *   the request before it closed the connection.
 * - `cut`: a part of the response reached the client.
 */
export type AttemptFailure = "not-sent" | "refused" | "maybe-run" | "cut";

/** Input of a retry decision. */
export interface RetryInput {
  readonly failure: AttemptFailure;
  /** Whether the route allows a request to be executed twice. */
  readonly isIdempotent: boolean;
  /** Whether an interrupted response can resume where it ended. */
  readonly canResume: boolean;
  /** Whether the target is known to have crashed during the request. */
  readonly hasTargetCrashed: boolean;
  /** Attempts that may have reached a target. */
  readonly attemptsSent: number;
  /** Attempts that reached no target. */
  readonly attemptsUnsent: number;
  readonly maxAttempts: number;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Why a failed attempt is not retried. */
export type RetryStopReason =
  | "may-have-run"
  | "cannot-resume"
  | "deadline"
  | "tries-used-up"
  | "budget-used-up";

/** Whether a failed attempt is retried. */
export type RetryDecision =
  | { readonly kind: "retry" }
  | { readonly kind: "stop"; readonly reason: RetryStopReason };

/**
 * Minimum time before the deadline for a retry: a connect and the start of a
 * response between availability zones.
 */
export const MIN_TIME_FOR_RETRY_MS = 20;

/** Limit of attempts that reached no target; each of them costs a connect. */
export const MAX_UNSENT_ATTEMPTS = 8;

/**
 * Decides on a retry and charges the budget for it. A request that was never
 * sent is free, because it put no load on any target. A request whose target
 * crashed is free as well, because its load is gone with the target. Such a
 * retry happens at most once per request, since content that was running during
 * two crashes is rejected.
 */
export function decideRetry(
  input: RetryInput,
  budget: RetryBudget,
): RetryDecision {
  const { failure, isIdempotent } = input;
  const mayHaveExecuted = failure === "maybe-run" || failure === "cut";
  if (mayHaveExecuted && !isIdempotent) return stop("may-have-run");
  if (failure === "cut" && !input.canResume) return stop("cannot-resume");
  if (input.attemptsSent >= input.maxAttempts) {
    return stop("tries-used-up");
  }
  if (input.attemptsUnsent >= MAX_UNSENT_ATTEMPTS) return stop("tries-used-up");
  const remainingMs = input.deadlineMs - input.nowMs;
  if (remainingMs < MIN_TIME_FOR_RETRY_MS) return stop("deadline");
  if (failure === "not-sent" || input.hasTargetCrashed) {
    return { kind: "retry" };
  }
  if (!budget.tryConsume()) return stop("budget-used-up");
  return { kind: "retry" };
}

function stop(reason: RetryStopReason): RetryDecision {
  return { kind: "stop", reason };
}
