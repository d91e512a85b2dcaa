import {
  type AttemptFailure,
  decideRetry,
  type RetryBudget,
  type RetryDecision,
} from "@coltsfootford/core";
import type { AnswerRelay, AttemptResult } from "./answer_relay.ts";
import type { RequestContext } from "./request_context.ts";

/** A try that did not lead to an answer. */
export type FailedAttempt = Exclude<AttemptResult, { kind: "answered" }>;

/** What the decision on another try depends on. */
export interface NextAttemptQuery {
  readonly result: FailedAttempt;
  readonly context: RequestContext;
  readonly relay: AnswerRelay;
  readonly budget: RetryBudget;
  readonly nowMs: number;
  /** Whether the target is known to have died with the request running. */
  readonly hasTargetCrashed: boolean;
}

/** The tries of one request so far. */
export class AttemptHistory {
  readonly targets = new Set<string>();
  #sent = 0;
  #unsent = 0;
  #mayHaveRun = false;

  /** Whether a target may have run the request in one of the tries. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Notes a failed try at a target. */
  note(target: string, result: FailedAttempt): void {
    this.targets.add(target);
    if (result.kind === "not-sent") this.#unsent += 1;
    else this.#sent += 1;
    if (result.kind === "unknown" || result.kind === "cut") {
      this.#mayHaveRun = true;
    }
  }

  /** Decides whether another try follows, and pays for it. */
  decide(question: NextAttemptQuery): RetryDecision {
    const { result, context, relay, budget, nowMs } = question;
    const failure: AttemptFailure = result.kind === "unknown"
      ? "maybe-run"
      : result.kind;
    return decideRetry({
      failure,
      isIdempotent: context.route.idempotent,
      canResume: relay.canResume(),
      hasTargetCrashed: question.hasTargetCrashed,
      attemptsSent: this.#sent,
      attemptsUnsent: this.#unsent,
      maxAttempts: context.route.maxAttempts,
      nowMs,
      deadlineMs: context.deadlineAtMs,
    }, budget);
  }
}
