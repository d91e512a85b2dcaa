import {
  type AttemptFailure,
  decideRetry,
  type RetryBudget,
  type RetryDecision,
} from "@coltsfootford/core";
import type { AttemptResult, ResponseRelay } from "./response_relay.ts";
import type { RequestContext } from "./request_context.ts";

/** The result of an attempt without a complete response. */
export type FailedAttempt = Exclude<AttemptResult, { kind: "answered" }>;

/** The input of the retry decision. */
export interface NextAttemptQuery {
  readonly result: FailedAttempt;
  readonly context: RequestContext;
  readonly relay: ResponseRelay;
  readonly budget: RetryBudget;
  readonly nowMs: number;
  /** Whether the target is known to have crashed during the attempt. */
  readonly hasTargetCrashed: boolean;
}

/** The failed attempts of one request so far. */
export class AttemptHistory {
  readonly targets = new Set<string>();
  #sentCount = 0;
  #unsentCount = 0;
  #mayHaveExecuted = false;

  /** Whether a target may have executed the request in one of the attempts. */
  get mayHaveExecuted(): boolean {
    return this.#mayHaveExecuted;
  }

  /** Records a failed attempt at a target. */
  record(target: string, result: FailedAttempt): void {
    this.targets.add(target);
    if (result.kind === "not-sent") this.#unsentCount += 1;
    else this.#sentCount += 1;
    if (result.kind === "unknown" || result.kind === "cut") {
      this.#mayHaveExecuted = true;
    }
  }

  /** Decides whether to retry; a retry is charged to the budget. */
  decide(query: NextAttemptQuery): RetryDecision {
    const { result, context, relay, budget, nowMs } = query;
    const failure: AttemptFailure = result.kind === "unknown"
      ? "maybe-run"
      : result.kind;
    return decideRetry({
      failure,
      isIdempotent: context.route.idempotent,
      canResume: relay.canResume(),
      hasTargetCrashed: query.hasTargetCrashed,
      attemptsSent: this.#sentCount,
      attemptsUnsent: this.#unsentCount,
      maxAttempts: context.route.maxAttempts,
      nowMs,
      deadlineMs: context.deadlineAtMs,
    }, budget);
  }
}
