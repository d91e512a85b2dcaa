import type { ClaimLocation } from "./claim_key.ts";
import type {
  ClaimRecord,
  RecordedResponse,
  ResponseSummary,
} from "./claim_record.ts";

/** Input events and output actions of the claim state machine. */

/** Precondition for writing a claim. */
export type ClaimExpectation =
  | { readonly kind: "absent" }
  /** The key was last modified at this platform revision. */
  | { readonly kind: "revision"; readonly modRevision: number };

/** One conditional write inside a transaction. */
export interface ClaimWrite {
  readonly location: ClaimLocation;
  readonly expectation: ClaimExpectation;
  readonly record: ClaimRecord;
  /** Written together with the claim, under a lease. */
  readonly response: RecordedResponse | undefined;
}

/**
 * Several writes in one call to the platform. All of them take effect if every
 * expectation holds. Otherwise none takes effect and the platform returns the
 * current records.
 */
export interface ClaimTransaction {
  readonly transactionId: number;
  readonly writes: readonly ClaimWrite[];
}

/** The stored claim for one write of a transaction that conflicted. */
export interface FoundClaim {
  readonly claimKey: string;
  readonly modRevision: number;
  readonly record: ClaimRecord;
  readonly response: RecordedResponse | undefined;
}

/** Outcome of a call that was dispatched. */
export type CallResult =
  | {
    readonly kind: "done";
    readonly summary: ResponseSummary;
    readonly response: RecordedResponse | undefined;
  }
  | { readonly kind: "not-run" }
  | { readonly kind: "unknown" };

/** An input event; `nowMs` is monotonic time. */
export type ClaimEvent =
  | {
    readonly kind: "begin";
    readonly nowMs: number;
    readonly callId: string;
    readonly location: ClaimLocation;
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
    /** Platform revision that the transaction created. */
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
    /**
     * Whether the transaction may have taken effect or may still take effect.
     */
    readonly maybeApplied: boolean;
  }
  | { readonly kind: "tick"; readonly nowMs: number };

/**
 * Why a call was not dispatched, or the response that the client gets instead.
 */
export type ClaimResult =
  /** The call was executed before and its response is recorded. */
  | { readonly kind: "replay"; readonly response: RecordedResponse }
  /**
   * The call was executed before; only the summary of its response is recorded.
   */
  | { readonly kind: "done"; readonly summary: ResponseSummary | undefined }
  /** Another call with this key is in progress, or its daemon died. */
  | { readonly kind: "in-progress" }
  /** The call was sent and its outcome could not be determined. */
  | { readonly kind: "unknown" }
  /** The key belongs to a call with another body. */
  | { readonly kind: "key-reused" }
  /** Not executed: the deadline passed before the call could be sent. */
  | { readonly kind: "deadline-passed" }
  /**
   * Not executed: the platform did not respond in time. With `keyHeld`, a claim
   * of this attempt may have been written, so other calls with the key may get
   * "in progress" until this daemon has released the key.
   */
  | { readonly kind: "platform-unavailable"; readonly keyHeld: boolean }
  /** Not executed: too many claims are queued in this daemon. */
  | { readonly kind: "overloaded" };

/** Actions that the controller of the claims must carry out. */
export type ClaimAction =
  | { readonly kind: "write"; readonly transaction: ClaimTransaction }
  /** The claim of this call is confirmed: the call may be sent once. */
  | { readonly kind: "dispatch"; readonly callId: string }
  /** The call must not be sent; the client gets a response with this result. */
  | {
    readonly kind: "answer";
    readonly callId: string;
    readonly result: ClaimResult;
  }
  /** The result of a finished call is recorded, or its claim is released. */
  | { readonly kind: "recorded"; readonly callId: string }
  /**
   * Another writer changed or removed the claim of a call; nothing more is
   * written.
   */
  | { readonly kind: "claim-lost"; readonly callId: string };
