/** Types of the calls to the key-value service. Values are UTF-8 text. */

/** The id of "no lease". */
export const NO_LEASE = "0";

/** One key with its value and revisions. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at which the key was created. */
  readonly createRevision: number;
  /** Revision of the store at which the value was last written. */
  readonly modRevision: number;
  /** Number of writes since the key was created, 1 for the first. */
  readonly version: number;
  /** The lease that the key ends with, or `NO_LEASE`. */
  readonly leaseId: string;
}

/** What to read: one key, or all keys that begin with a prefix. */
export type KeySelection =
  | { readonly key: string }
  | {
    readonly prefix: string;
    /** Reads on from this key, for the next page. */
    readonly fromKey?: string;
    /** Most entries of a page; 0 or absent means all. */
    readonly limitEntries?: number;
  };

/** The answer to a range read. */
export interface RangeAnswer {
  readonly entries: readonly KeyValueEntry[];
  /** Whether more entries follow the last one. */
  readonly hasMore: boolean;
  /** Revision of the store at the read. */
  readonly revision: number;
}

/** A condition of a transaction. */
export type Compare =
  | {
    readonly target: "mod" | "version" | "create";
    readonly key: string;
    readonly comparison: "equal" | "greater" | "less";
    readonly operand: number;
  }
  | {
    readonly target: "value";
    readonly key: string;
    readonly comparison: "equal" | "greater" | "less";
    readonly operand: string;
  };

/** A step of a transaction. */
export type TxnOperation =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string | undefined;
  }
  | { readonly kind: "range"; readonly selection: KeySelection }
  | { readonly kind: "delete"; readonly selection: KeySelection };

/** A transaction: `success` runs if all compares hold, else `failure`. */
export interface TxnRequest {
  readonly compares: readonly Compare[];
  readonly success: readonly TxnOperation[];
  readonly failure: readonly TxnOperation[];
}

/** The answer to one operation; `entries` is empty but for a range. */
export interface TxnOperationAnswer {
  readonly entries: readonly KeyValueEntry[];
}

/** The answer to a transaction. */
export interface TxnAnswer {
  readonly succeeded: boolean;
  readonly revision: number;
  /** One answer for each operation of the branch that ran. */
  readonly operations: readonly TxnOperationAnswer[];
}

/** The answer to a compare-and-swap of one key. */
export interface SwapAnswer {
  readonly swapped: boolean;
  /** Revision of the store after the call; of the key where swapped. */
  readonly revision: number;
  /** The entry that stood in the way, where there was one. */
  readonly current: KeyValueEntry | undefined;
}

/** A granted lease. */
export interface Lease {
  readonly leaseId: string;
  /** Time until the lease lapses unless it is kept alive, in ms. */
  readonly ttlMs: number;
}

/** One change of a watched key. */
export type WatchEvent =
  | { readonly kind: "put"; readonly entry: KeyValueEntry }
  | {
    readonly kind: "delete";
    readonly key: string;
    readonly modRevision: number;
  };

/**
 * What a watch delivers. A `snapshot` replaces all that was known: it comes
 * first where no start revision was given, and after a gap (history compacted,
 * or a service that was restored to an older state).
 */
export type WatchBatch =
  | {
    readonly kind: "snapshot";
    readonly entries: readonly KeyValueEntry[];
    readonly revision: number;
  }
  | {
    readonly kind: "events";
    readonly events: readonly WatchEvent[];
    readonly revision: number;
  };
