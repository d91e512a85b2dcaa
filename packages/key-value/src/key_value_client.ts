import type { Result } from "neverthrow";
import {
  type CancelTimer,
  StoreHistory,
  type StoreRevision,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueError } from "./key_value_error.ts";
import type {
  Compare,
  KeySelection,
  KeyValueEntry,
  Lease,
  RangeResponse,
  SwapResult,
  TxnRequest,
  TxnResponse,
} from "./key_value_types.ts";
import {
  type LongPollLimits,
  type Watch,
  WatchLoop,
  type WatchOptions,
  type WatchSink,
} from "./watch_loop.ts";

/** The result of a call to the key-value service. */
export type KeyValueResult<Value> = Promise<Result<Value, KeyValueError>>;

/** Number of calls made, by kind. */
export interface CallCounts {
  reads: number;
  writes: number;
  leases: number;
  watches: number;
}

/** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
export type RandomSource = () => number;

/**
 * A client of the platform's key-value service. No method throws: every
 * failure is a `KeyValueError` whose kind states whether a write may have been
 * applied. The client never retries a write that may have been sent.
 */
export abstract class KeyValueClient {
  /** Calls made so far. The platform counts an open watch as one call. */
  readonly calls: CallCounts = { reads: 0, writes: 0, leases: 0, watches: 0 };

  /** Where the responses of the service are in its history. */
  readonly history = new StoreHistory();

  /** Time of the last response to a call, on the timer's clock. */
  lastResponseAtMs = -Infinity;

  /** Time of the last bytes received from the service, on the timer's clock. */
  lastReceivedAtMs = -Infinity;

  constructor(
    protected readonly timer: TimerService,
    protected readonly random: RandomSource,
  ) {}

  /** Reads one key or all keys with a prefix. */
  abstract range(selection: KeySelection): KeyValueResult<RangeResponse>;

  /**
   * Reads the place of the store in its history with the cheapest read of the
   * service. The result may be some seconds old.
   */
  abstract readRevision(timeoutMs: number): KeyValueResult<StoreRevision>;

  /** Executes a transaction atomically. */
  abstract txn(request: TxnRequest): KeyValueResult<TxnResponse>;

  /** Grants a lease that expires `ttlMs` after its last renewal. */
  abstract grantLease(ttlMs: number): KeyValueResult<Lease>;

  /** Renews a lease. The returned `ttlMs` is 0 if the lease has expired. */
  abstract keepLeaseAlive(leaseId: string): KeyValueResult<Lease>;

  /** Revokes a lease and deletes its keys. */
  abstract revokeLease(leaseId: string): KeyValueResult<void>;

  /** Closes idle connections. Open watches are closed separately. */
  abstract close(): Promise<void>;

  /** Opens one watch connection; `WatchLoop` reopens it when it ends. */
  protected abstract openWatch(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
    longPoll: LongPollLimits | undefined,
  ): CancelTimer;

  /** Reads one key; the result is undefined if the key does not exist. */
  async get(key: string): KeyValueResult<KeyValueEntry | undefined> {
    const result = await this.range({ key });
    return result.map((range) => range.entries[0]);
  }

  /** Writes a key unconditionally. */
  async put(
    key: string,
    value: string,
    leaseId?: string,
  ): KeyValueResult<TxnResponse> {
    return await this.txn({
      compares: [],
      success: [{ kind: "put", key, value, leaseId }],
      failure: [],
    });
  }

  /** Deletes a key unconditionally. */
  async delete(key: string): KeyValueResult<TxnResponse> {
    return await this.txn({
      compares: [],
      success: [{ kind: "delete", selection: { key } }],
      failure: [],
    });
  }

  /** Writes a key only if it does not exist. */
  async create(
    key: string,
    value: string,
    leaseId?: string,
  ): KeyValueResult<SwapResult> {
    return await this.#swap(
      { target: "create", key, comparison: "equal", operand: 0 },
      key,
      value,
      leaseId,
    );
  }

  /** Writes a key only if its last write was at `modRevision`. */
  async replace(
    key: string,
    value: string,
    modRevision: number,
    leaseId?: string,
  ): KeyValueResult<SwapResult> {
    return await this.#swap(
      { target: "mod", key, comparison: "equal", operand: modRevision },
      key,
      value,
      leaseId,
    );
  }

  /** Watches keys until the returned watch is closed; see `WatchOptions`. */
  watch(options: WatchOptions): Watch {
    const loop = new WatchLoop({
      options,
      timer: this.timer,
      random: this.random,
      range: (selection) => this.range(selection),
      open: (selection, startRevision, sink) => {
        this.calls.watches += 1;
        return this.openWatch(selection, startRevision, sink, options.longPoll);
      },
    });
    loop.start();
    return loop;
  }

  async #swap(
    compare: Compare,
    key: string,
    value: string,
    leaseId: string | undefined,
  ): KeyValueResult<SwapResult> {
    const result = await this.txn({
      compares: [compare],
      success: [{ kind: "put", key, value, leaseId }],
      failure: [{ kind: "range", selection: { key } }],
    });
    return result.map((txn) => ({
      swapped: txn.succeeded,
      revision: txn.revision,
      current: txn.succeeded ? undefined : txn.operations[0]?.entries[0],
    }));
  }
}
