import type { RetryBudget } from "./retry_budget.ts";

/**
 * How a try at a target failed. `not-sent`: no byte reached a target.
 * `refused`: the target said that it did not run the request. `maybe-run`: the
 * target may have run it; a failure on a reused idle connection is of this
 * kind, since the target may have read the request before it closed.
 * `cut`: a part of the answer reached the caller.
 */
export type AttemptFailure = "not-sent" | "refused" | "maybe-run" | "cut";

/** All that the decision depends on. */
export interface RetryQuestion {
  readonly failure: AttemptFailure;
  /** Whether the route says that a request may run twice. */
  readonly isIdempotent: boolean;
  /** Whether a cut answer can go on where it ended. */
  readonly canResume: boolean;
  /** Whether the target is known to have died with the request running. */
  readonly hasTargetCrashed: boolean;
  /** Tries that may have reached a target. */
  readonly attemptsSent: number;
  /** Tries that reached no target. */
  readonly attemptsUnsent: number;
  readonly maxAttempts: number;
  readonly nowMs: number;
  readonly deadlineMs: number;
}

/** Why a failed try is the last one. */
export type RetryRefusal =
  | "may-have-run"
  | "cannot-resume"
  | "deadline"
  | "tries-used-up"
  | "budget-used-up";

/** Whether a failed try is followed by another. */
export type RetryDecision =
  | { readonly kind: "retry" }
  | { readonly kind: "stop"; readonly reason: RetryRefusal };

/**
 * Time that must be left for a retry to make sense: a connect and a first
 * answer between availability zones.
 */
export const MIN_TIME_FOR_RETRY_MS = 20;

/** Most tries that reached no target, since each costs a connect. */
export const MAX_UNSENT_TRIES = 8;

/**
 * Decides on a retry and takes it out of the budget. A request that was never
 * sent costs nothing of the budget, since it put no load on any target. Nor
 * does one whose target crashed: the load that it made is gone with the target,
 * and content that was running in two crashes is refused, so a request gets at
 * most one such retry.
 */
export function decideRetry(
  question: RetryQuestion,
  budget: RetryBudget,
): RetryDecision {
  const { failure, isIdempotent } = question;
  const mayHaveRun = failure === "maybe-run" || failure === "cut";
  if (mayHaveRun && !isIdempotent) return stop("may-have-run");
  if (failure === "cut" && !question.canResume) return stop("cannot-resume");
  if (question.attemptsSent >= question.maxAttempts) {
    return stop("tries-used-up");
  }
  if (question.attemptsUnsent >= MAX_UNSENT_TRIES) return stop("tries-used-up");
  const leftMs = question.deadlineMs - question.nowMs;
  if (leftMs < MIN_TIME_FOR_RETRY_MS) return stop("deadline");
  if (failure === "not-sent" || question.hasTargetCrashed) {
    return { kind: "retry" };
  }
  if (!budget.tryTake()) return stop("budget-used-up");
  return { kind: "retry" };
}

function stop(reason: RetryRefusal): RetryDecision {
  return { kind: "stop", reason };
}
