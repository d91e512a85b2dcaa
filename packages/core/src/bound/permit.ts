/**
 * Time from a permit request until an unused permit expires, in ms. The time is
 * longer than a round trip within a zone and shorter than the time after which
 * an unresponsive owner is replaced.
 */
export const DEFAULT_START_WITHIN_MS = 1_000;
/** Longest time that a permit request may queue for its first target, in ms. */
export const MAX_QUEUE_WAIT_MS = 500;
/** Time that the request may then queue for any of its targets, in ms. */
export const ANY_TARGET_WAIT_MS = 250;

/** Term of one owner of one target. A higher number supersedes a lower one. */
export interface OwnerEpoch {
  readonly number: number;
  /** Name of the daemon that owns the target. */
  readonly owner: string;
}

/** Whether both are the same term of the same owner. */
export function isSameEpoch(a: OwnerEpoch, b: OwnerEpoch): boolean {
  return a.number === b.number && a.owner === b.owner;
}

/**
 * A request for the permission to send one request to a target. The daemon that
 * requests and then uses the permit is its holder.
 */
export interface PermitRequest {
  /** Unique within one incarnation of the holder. */
  readonly permitId: number;
  readonly target: string;
  /** Time that the request may queue at the owner while the target is full. */
  readonly waitMs?: number;
  /**
   * Further targets of the same owner, in order of preference. The owner tries
   * them when the first target stays full; the request may then queue for a
   * short time for any of them.
   */
  readonly alternatives?: readonly string[];
}

/** Why an owner rejected a permit request. */
export type RejectionReason =
  /** The target's load has reached the limit. */
  | "at-limit"
  /** The owner has not finished the takeover from the previous owner. */
  | "not-ready"
  /** The daemon does not own the target. */
  | "not-keeper"
  /** The target drains before it leaves. */
  | "leaving";

/** An owner's response to a `PermitRequest`. */
export type PermitResponse = PermitGrant | PermitRejection;

/** Permission to send one request; valid until the request's response ends. */
export interface PermitGrant {
  readonly kind: "granted";
  readonly permitId: number;
  /** The requested target or one of its alternatives. */
  readonly target: string;
  readonly epoch: OwnerEpoch;
  /**
   * Time within which the permit must be used, counted on the holder's clock
   * from before the permit request was sent.
   */
  readonly startWithinMs: number;
}

/** A rejection; the owner counts no load for it. */
export interface PermitRejection {
  readonly kind: "refused";
  readonly permitId: number;
  readonly reason: RejectionReason;
}

/** A new owner's query for the permits that a holder uses at a target. */
export interface CollectRequest {
  readonly target: string;
  readonly epoch: OwnerEpoch;
}

/** Orphan count of a previous owner that dropped its state. */
export const UNKNOWN_ORPHANS = -1;

/** A holder's response to a `CollectRequest`. */
export type CollectResponse =
  | {
    readonly kind: "collected";
    readonly target: string;
    readonly epoch: OwnerEpoch;
    /** Permits of the holder's requests that run at the target. */
    readonly startedPermitIds: readonly number[];
    /**
     * From the previous owner: the number of requests of lost holders that may
     * still run, or `UNKNOWN_ORPHANS` if the owner dropped its state. Other
     * holders leave it out.
     */
    readonly orphanRequests?: number;
  }
  | {
    readonly kind: "newer-epoch";
    readonly target: string;
    /** The newer epoch that the holder has accepted already. */
    readonly epoch: OwnerEpoch;
  };

/** Longest time that the owner may queue a permit request, in ms. */
export function longestWaitMs(request: PermitRequest): number {
  const anyWaitMs = request.alternatives ? ANY_TARGET_WAIT_MS : 0;
  return Math.min(request.waitMs ?? 0, MAX_QUEUE_WAIT_MS) + anyWaitMs;
}
