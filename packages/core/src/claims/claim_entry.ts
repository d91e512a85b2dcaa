import type { ClaimExpectation, ClaimWrite } from "./claim_events.ts";
import type { ClaimPlace } from "./claim_key.ts";
import type { ClaimRecord, RecordedAnswer } from "./claim_record.ts";

/**
 * The phases of one call in its daemon. `claiming`: the claim is to be
 * written; the call has not been sent. `owned`: the call may be sent.
 * `closing`: the result, or the release, is to be written; the call is never
 * sent any more.
 */
export type ClaimPhase = "claiming" | "owned" | "closing";

/** One call that a `ClaimBook` is looking after. */
export interface ClaimEntry {
  readonly callId: string;
  readonly place: ClaimPlace;
  readonly beganAtMs: number;
  readonly deadlineMs: number;
  phase: ClaimPhase;
  /** What the next write wants to put in place. */
  record: ClaimRecord;
  answer: RecordedAnswer | undefined;
  expectation: ClaimExpectation;
  /** A write of this entry may have taken effect without our knowing. */
  maybeWritten: boolean;
  /** The call was let through, so its claim was seen in place. */
  wasOwned: boolean;
  /** The caller has its answer; only the claim is left to be settled. */
  answered: boolean;
  /** Its expectation held when another one of its transaction failed. */
  retriedAfterConflict: boolean;
  /** When its present write was asked for. */
  queuedAtMs: number;
}

/** Platform operations that the write of an entry takes. */
export function countOperations(entry: ClaimEntry): number {
  return entry.answer ? 2 : 1;
}

/** Bytes of the write of an entry that vary much: the recorded answer. */
export function countAnswerBytes(entry: ClaimEntry): number {
  return entry.answer?.body.length ?? 0;
}

/** The conditional write that an entry waits for. */
export function createWrite(entry: ClaimEntry): ClaimWrite {
  return {
    place: entry.place,
    expectation: entry.expectation,
    record: entry.record,
    answer: entry.answer,
  };
}

/** Whether a caller waits for the write of this entry. */
export function isUrgent(entry: ClaimEntry): boolean {
  return entry.phase === "claiming" || entry.record.state === "not-run";
}
