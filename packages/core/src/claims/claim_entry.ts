import type { ClaimExpectation, ClaimWrite } from "./claim_events.ts";
import type { ClaimLocation } from "./claim_key.ts";
import type { ClaimRecord, RecordedResponse } from "./claim_record.ts";

/**
 * Phase of one call in its daemon. `claiming`: the claim is not confirmed yet
 * and the call has not been sent. `owned`: the call may be sent. `closing`: the
 * result or the release is being written and the call must not be sent again.
 */
export type ClaimPhase = "claiming" | "owned" | "closing";

/** State of one call in the claim state machine. */
export interface ClaimEntry {
  readonly callId: string;
  readonly location: ClaimLocation;
  readonly beganAtMs: number;
  readonly deadlineMs: number;
  phase: ClaimPhase;
  /** Record that the next write stores. */
  record: ClaimRecord;
  response: RecordedResponse | undefined;
  expectation: ClaimExpectation;
  /** Whether an unconfirmed write of this entry may have taken effect. */
  mayBeWritten: boolean;
  /** Whether the call was dispatched, which means its claim was confirmed. */
  wasOwned: boolean;
  /**
   * Whether the client has its response and only the claim is left to settle.
   */
  hasResponse: boolean;
  /**
   * Whether the last transaction failed only on the expectation of another
   * entry.
   */
  isRetryAfterConflict: boolean;
  /** Monotonic time at which the current write was queued. */
  queuedAtMs: number;
}

/** Number of platform operations in the write of an entry. */
export function countOperations(entry: ClaimEntry): number {
  return entry.response ? 2 : 1;
}

/**
 * Bytes of the recorded response, the part of a write whose size varies most.
 */
export function countResponseBytes(entry: ClaimEntry): number {
  return entry.response?.body.length ?? 0;
}

/** Creates the conditional write for an entry. */
export function createWrite(entry: ClaimEntry): ClaimWrite {
  return {
    location: entry.location,
    expectation: entry.expectation,
    record: entry.record,
    response: entry.response,
  };
}

/** Whether the write of this entry is sent without the delay for results. */
export function isUrgent(entry: ClaimEntry): boolean {
  return entry.phase === "claiming" || entry.record.state === "not-run";
}
