import type { ClaimResult, KeyRejection, StepError } from "@coltsfootford/core";
import {
  createRequestError,
  type RequestError,
} from "../entry/request_error.ts";

const KEY_HEADER = "Idempotency-Key";
const IN_PROGRESS_RETRY_MS = 1_000;
const PLATFORM_RETRY_MS = 2_000;

/** The claim results for which the client receives an error. */
export type FailedClaimResult = Exclude<ClaimResult, { kind: "replay" }>;

/**
 * The error for a call that was not sent because of the result of its claim. If
 * a record of the key was found, the outcome describes the call that the key
 * identifies; otherwise it describes this attempt, which was not executed.
 */
export function createClaimError(result: FailedClaimResult): RequestError {
  const param = KEY_HEADER;
  if (result.kind === "done") {
    const status = result.summary?.status;
    const statusNote = status === undefined ? "" : ` with status ${status}`;
    return createRequestError(
      409,
      "already_completed",
      `the call with this key ran and was answered${statusNote}; its answer is not kept`,
      { param, outcome: "completed" },
    );
  }
  if (result.kind === "in-progress") {
    return createRequestError(
      409,
      "idempotency_key_in_use",
      "a call with this key is running, or its daemon died while it ran; it is not run again, ask once more later",
      { param, outcome: "unknown", retryAfterMs: IN_PROGRESS_RETRY_MS },
    );
  }
  if (result.kind === "unknown") {
    return createRequestError(
      409,
      "outcome_unknown",
      "the call with this key was sent and its outcome is not known; it is not run again, ask the service",
      { param, outcome: "unknown" },
    );
  }
  if (result.kind === "key-reused") {
    return createRequestError(
      422,
      "idempotency_key_reused",
      "this key belongs to a call with another method, path or body; use a new key",
      { param },
    );
  }
  if (result.kind === "deadline-passed") {
    return createRequestError(
      504,
      "deadline_passed",
      "the deadline passed before the call could be sent",
      { retryAfterMs: IN_PROGRESS_RETRY_MS },
    );
  }
  if (result.kind === "overloaded") {
    return createRequestError(
      503,
      "claims_overloaded",
      "too many calls wait for their claim in this daemon",
      { retryAfterMs: PLATFORM_RETRY_MS },
    );
  }
  const keyNote = result.keyHeld
    ? "; the key may be in use until this daemon has released it"
    : "";
  return createRequestError(
    503,
    "claims_unavailable",
    `the platform did not confirm the claim in time, so the call was not sent${keyNote}`,
    { retryAfterMs: PLATFORM_RETRY_MS },
  );
}

/** The error for a call whose key is invalid or too old to be claimed. */
export function createKeyError(error: StepError<KeyRejection>): RequestError {
  const param = KEY_HEADER;
  if (error.kind === "key-too-old") {
    // An earlier call with this key may have been executed, and its record has
    // expired.
    const outcome = "unknown";
    return createRequestError(409, "idempotency_key_expired", error.message, {
      param,
      outcome,
    });
  }
  return createRequestError(400, "invalid_idempotency_key", error.message, {
    param,
  });
}
