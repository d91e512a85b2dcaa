import type { ClaimPlace } from "./claim_key.ts";
import type {
  AnswerSummary,
  ClaimRecord,
  RecordedAnswer,
} from "./claim_record.ts";

/** The events that a `ClaimBook` takes in and the actions that it gives out. */

/** The condition under which a claim may be written. */
export type ClaimExpectation =
  | { readonly kind: "absent" }
  /** The key's last change has this revision of the platform. */
  | { readonly kind: "revision"; readonly modRevision: number };

/** One conditional write inside a transaction. */
export interface ClaimWrite {
  readonly place: ClaimPlace;
  readonly expectation: ClaimExpectation;
  readonly record: ClaimRecord;
  /** Written beside the claim, under a lease, when the claim is written. */
  readonly answer: RecordedAnswer | undefined;
}

/**
 * Several writes in one call to the platform: all of them take effect if every
 * expectation holds, otherwise none, and the present records are returned.
 */
export interface ClaimTransaction {
  readonly transactionId: number;
  readonly writes: readonly ClaimWrite[];
}

/** What the platform holds for one write of a transaction that conflicted. */
export interface FoundClaim {
  readonly claimKey: string;
  readonly modRevision: number;
  readonly record: ClaimRecord;
  readonly answer: RecordedAnswer | undefined;
}

/** What a daemon learnt about a call that it was allowed to send. */
export type CallResult =
  | {
    readonly kind: "done";
    readonly summary: AnswerSummary;
    readonly answer: RecordedAnswer | undefined;
  }
  | { readonly kind: "not-run" }
  | { readonly kind: "unknown" };

/** An event of a `ClaimBook`; `nowMs` is monotonic time. */
export type ClaimEvent =
  | {
    readonly kind: "begin";
    readonly nowMs: number;
    readonly callId: string;
    readonly place: ClaimPlace;
    readonly bodyDigest: string;
    readonly claimedAtMs: number;
    readonly deadlineMs: number;
  }
  | {
    readonly kind: "finish";
    readonly nowMs: number;
    readonly callId: string;
    readonly result: CallResult;
  }
  | {
    readonly kind: "committed";
    readonly nowMs: number;
    readonly transactionId: number;
    /** Revision of the platform that the transaction made. */
    readonly revision: number;
  }
  | {
    readonly kind: "conflicted";
    readonly nowMs: number;
    readonly transactionId: number;
    readonly found: readonly FoundClaim[];
  }
  | {
    readonly kind: "failed";
    readonly nowMs: number;
    readonly transactionId: number;
    /** Whether the transaction may have taken effect, now or later. */
    readonly maybeApplied: boolean;
  }
  | { readonly kind: "tick"; readonly nowMs: number };

/** Why a call was not let through, or the answer that it gets instead. */
export type ClaimResult =
  /** The call ran before and its answer is kept. */
  | { readonly kind: "replay"; readonly answer: RecordedAnswer }
  /** The call ran before; only the summary of its answer is kept. */
  | { readonly kind: "done"; readonly summary: AnswerSummary | undefined }
  /** Another call with this key is running, or its daemon died. */
  | { readonly kind: "in-progress" }
  /** The daemon that ran the call could not tell what became of it. */
  | { readonly kind: "unknown" }
  /** The key belongs to a call with another body. */
  | { readonly kind: "key-reused" }
  /** Not run: the deadline passed before the call could be sent. */
  | { readonly kind: "deadline-passed" }
  /**
   * Not run: the platform did not answer in time. `keyHeld` tells that a claim
   * of this try may be in place, so the key may answer "in progress" until
   * this daemon has released it.
   */
  | { readonly kind: "platform-unavailable"; readonly keyHeld: boolean }
  /** Not run: too many claims are waiting in this daemon. */
  | { readonly kind: "overloaded" };

/** What the owner of a `ClaimBook` has to do. */
export type ClaimAction =
  | { readonly kind: "write"; readonly transaction: ClaimTransaction }
  /** The claim is this call's own: the call may be sent, once. */
  | { readonly kind: "dispatch"; readonly callId: string }
  /** The call must not be sent; the caller is answered with the verdict. */
  | {
    readonly kind: "answer";
    readonly callId: string;
    readonly verdict: ClaimResult;
  }
  /** The result of a finished call is kept, or its claim released. */
  | { readonly kind: "recorded"; readonly callId: string }
  /** The claim of a call changed under its owner; nothing more is written. */
  | { readonly kind: "claim-lost"; readonly callId: string };
