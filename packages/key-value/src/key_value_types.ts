/** Types of the calls to the key-value service. Values are UTF-8 text. */

import type { StoreRevision } from "@coltsfootford/core";

/** The lease id of a key without a lease. */
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
  /** The lease at whose end the key is deleted, or `NO_LEASE`. */
  readonly leaseId: string;
}

/** The keys of an operation: one key, or all keys with a prefix. */
export type KeySelection =
  | { readonly key: string }
  | {
    readonly prefix: string;
    /** First key of the page; absent means the first key with the prefix. */
    readonly fromKey?: string;
    /** Maximum entries of a page; 0 or absent means all. */
    readonly limitEntries?: number;
  };

/** The response to a range read. */
export interface RangeResponse {
  readonly entries: readonly KeyValueEntry[];
  /** Whether more entries follow the last one. */
  readonly hasMore: boolean;
  /** The store's place in its history at the time of the read. */
  readonly revision: StoreRevision;
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

/** An operation of a transaction. */
export type TxnOperation =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string | undefined;
  }
  | { readonly kind: "range"; readonly selection: KeySelection }
  | { readonly kind: "delete"; readonly selection: KeySelection };

/** A transaction: `success` is executed if all compares hold, else `failure`. */
export interface TxnRequest {
  readonly compares: readonly Compare[];
  readonly success: readonly TxnOperation[];
  readonly failure: readonly TxnOperation[];
}

/** The response to one operation; only a range returns `entries`. */
export interface TxnOperationResponse {
  readonly entries: readonly KeyValueEntry[];
}

/** The response to a transaction. */
export interface TxnResponse {
  readonly succeeded: boolean;
  readonly revision: number;
  /** One response for each operation of the executed branch. */
  readonly operations: readonly TxnOperationResponse[];
}

/** The result of a compare-and-swap of one key. */
export interface SwapResult {
  readonly swapped: boolean;
  /** Revision of the store after the call; if swapped, that of the write. */
  readonly revision: number;
  /** The existing entry that prevented the swap, if any. */
  readonly current: KeyValueEntry | undefined;
}

/** A granted lease. */
export interface Lease {
  readonly leaseId: string;
  /** Time until the lease expires unless it is renewed, in ms. */
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
 * A batch that a watch delivers. A `snapshot` replaces all previous entries. The
 * watch delivers it first if no start revision was given, and after a gap: the
 * history was compacted, or the service was restored to an older state.
 */
export type WatchBatch =
  | {
    readonly kind: "snapshot";
    readonly entries: readonly KeyValueEntry[];
    readonly revision: StoreRevision;
  }
  | {
    readonly kind: "events";
    readonly events: readonly WatchEvent[];
    readonly revision: StoreRevision;
  };
