import type { ClaimResult, KeyRefusal, StepError } from "@coltsfootford/core";
import { createRefusal, type Refusal } from "../entry/refusal.ts";

const KEY_HEADER = "Idempotency-Key";
const IN_PROGRESS_RETRY_MS = 1_000;
const PLATFORM_RETRY_MS = 2_000;

/** The verdicts that are answered by an error. */
export type RefusingVerdict = Exclude<ClaimResult, { kind: "replay" }>;

/**
 * The answer to a call that its claim did not let through. Where a record of
 * the key was seen, the outcome speaks of the call that the key names; where
 * none could be seen, it speaks of this try, which was not run.
 */
export function createClaimRefusal(verdict: RefusingVerdict): Refusal {
  const param = KEY_HEADER;
  if (verdict.kind === "done") {
    const status = verdict.summary?.status;
    const told = status === undefined ? "" : ` with status ${status}`;
    return createRefusal(
      409,
      "already_completed",
      `the call with this key ran and was answered${told}; its answer is not kept`,
      { param, outcome: "completed" },
    );
  }
  if (verdict.kind === "in-progress") {
    return createRefusal(
      409,
      "idempotency_key_in_use",
      "a call with this key is running, or its daemon died while it ran; it is not run again, ask once more later",
      { param, outcome: "unknown", retryAfterMs: IN_PROGRESS_RETRY_MS },
    );
  }
  if (verdict.kind === "unknown") {
    return createRefusal(
      409,
      "outcome_unknown",
      "the call with this key was sent and its outcome is not known; it is not run again, ask the service",
      { param, outcome: "unknown" },
    );
  }
  if (verdict.kind === "key-reused") {
    return createRefusal(
      422,
      "idempotency_key_reused",
      "this key belongs to a call with another method, path or body; use a new key",
      { param },
    );
  }
  if (verdict.kind === "deadline-passed") {
    return createRefusal(
      504,
      "deadline_passed",
      "the deadline passed before the call could be sent",
      { retryAfterMs: IN_PROGRESS_RETRY_MS },
    );
  }
  if (verdict.kind === "overloaded") {
    return createRefusal(
      503,
      "claims_overloaded",
      "too many calls wait for their claim in this daemon",
      { retryAfterMs: PLATFORM_RETRY_MS },
    );
  }
  const held = verdict.keyHeld
    ? "; the key may be in use until this daemon has released it"
    : "";
  return createRefusal(
    503,
    "claims_unavailable",
    `the platform did not confirm the claim in time, so the call was not sent${held}`,
    { retryAfterMs: PLATFORM_RETRY_MS },
  );
}

/** The answer to a call whose key cannot be claimed at all. */
export function createKeyRefusal(error: StepError<KeyRefusal>): Refusal {
  const param = KEY_HEADER;
  if (error.kind === "key-too-old") {
    // An earlier call with this key may have run, and its record is gone.
    const outcome = "unknown";
    return createRefusal(409, "idempotency_key_expired", error.message, {
      param,
      outcome,
    });
  }
  return createRefusal(400, "invalid_idempotency_key", error.message, {
    param,
  });
}
