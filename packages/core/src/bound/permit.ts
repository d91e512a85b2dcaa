/**
 * The time within which a request must be sent after its permit was asked for.
 * It is longer than an exchange within a zone and shorter than the time after
 * which a silent keeper is replaced.
 */
export const DEFAULT_START_WITHIN_MS = 1_000;
/** Longest time that an ask may wait at the keeper for its first target. */
export const MAX_QUEUE_WAIT_MS = 500;
/** Time that it may wait for any of its targets after that. */
export const ANY_TARGET_WAIT_MS = 250;

/** One run of one keeper for one target. Higher numbers replace lower ones. */
export interface OwnerEpoch {
  readonly number: number;
  /** Name of the daemon that keeps the target. */
  readonly owner: string;
}

/** Whether both name the same run of the same keeper. */
export function isSameEpoch(a: OwnerEpoch, b: OwnerEpoch): boolean {
  return a.number === b.number && a.owner === b.owner;
}

/** A holder's question for one place at a target. */
export interface PermitRequest {
  /** Number of the ask, unique in one run of the holder. */
  readonly permitId: number;
  readonly target: string;
  /** Time that the ask may wait at the keeper while the target is full. */
  readonly waitMs?: number;
  /**
   * Further targets of the same keeper, in order. Where the first one stays
   * full they are tried, and the ask may wait a short time for any of them.
   */
  readonly alternatives?: readonly string[];
}

/** Why a keeper gave no permit. */
export type RefusalReason =
  /** The target has as much load as the bound allows. */
  | "at-limit"
  /** The keeper has not collected the permits of its predecessor yet. */
  | "not-ready"
  /** The daemon does not keep the target. */
  | "not-keeper"
  /** The target is leaving. */
  | "leaving";

/** A keeper's answer to a `PermitRequest`. */
export type PermitResponse = PermitGrant | PermitRefusal;

/** The right to send one request to the target, until its answer has ended. */
export interface PermitGrant {
  readonly kind: "granted";
  readonly permitId: number;
  /** The target of the ask, or one of its alternatives. */
  readonly target: string;
  readonly epoch: OwnerEpoch;
  /** Counted on the holder's clock from before it asked. */
  readonly startWithinMs: number;
}

/** No permit; nothing was counted. */
export interface PermitRefusal {
  readonly kind: "refused";
  readonly permitId: number;
  readonly reason: RefusalReason;
}

/** A new keeper's question for the permits that a holder has for a target. */
export interface CollectRequest {
  readonly target: string;
  readonly epoch: OwnerEpoch;
}

/** A former keeper does not know what runs without a holder. */
export const UNKNOWN_ORPHANS = -1;

/** A holder's answer to a `CollectRequest`. */
export type CollectAnswer =
  | {
    readonly kind: "collected";
    readonly target: string;
    readonly epoch: OwnerEpoch;
    /** Requests of the holder that run at the target. */
    readonly startedPermitIds: readonly number[];
    /**
     * From the former keeper: requests of lost holders that may still run, or
     * `UNKNOWN_ORPHANS` where it dropped its state. Absent from others.
     */
    readonly orphanRequests?: number;
  }
  | {
    readonly kind: "newer-epoch";
    readonly target: string;
    /** The epoch that the holder answered to already. */
    readonly epoch: OwnerEpoch;
  };

/** Longest time that the keeper may hold an ask back, in ms. */
export function longestWaitMs(ask: PermitRequest): number {
  const anyWaitMs = ask.alternatives ? ANY_TARGET_WAIT_MS : 0;
  return Math.min(ask.waitMs ?? 0, MAX_QUEUE_WAIT_MS) + anyWaitMs;
}
