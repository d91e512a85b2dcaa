import type { Result } from "neverthrow";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { KeyValueError } from "./key_value_error.ts";
import type {
  Compare,
  KeySelection,
  KeyValueEntry,
  Lease,
  RangeAnswer,
  SwapAnswer,
  TxnAnswer,
  TxnRequest,
} from "./key_value_types.ts";
import {
  type Watch,
  WatchLoop,
  type WatchOptions,
  type WatchPace,
  type WatchSink,
} from "./watch_loop.ts";

/** The answer to a call to the key-value service. */
export type KeyValueResult<Value> = Promise<Result<Value, KeyValueError>>;

/** Numbers of calls made, by kind. */
export interface CallCounts {
  reads: number;
  writes: number;
  leases: number;
  watches: number;
}

/** A source of numbers from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;

/**
 * A client of the platform's key-value service. No method throws: every
 * failure is a `KeyValueError` whose kind says whether a write may have been
 * applied. The client never repeats a write that may have been sent.
 */
export abstract class KeyValueClient {
  /** Calls made so far. The platform counts a waiting watch as one call. */
  readonly calls: CallCounts = { reads: 0, writes: 0, leases: 0, watches: 0 };

  /** When the service last answered a call, on the timer's clock. */
  answeredAtMs = -Infinity;

  /** When bytes last came from the service, on the timer's clock. */
  receivedAtMs = -Infinity;

  constructor(
    protected readonly timer: TimerService,
    protected readonly random: RandomSource,
  ) {}

  /** Reads one key or all keys with a prefix. */
  abstract range(selection: KeySelection): KeyValueResult<RangeAnswer>;

  /**
   * Reads the revision of the service by its cheapest read, which may be some
   * seconds old.
   */
  abstract readRevision(timeoutMs: number): KeyValueResult<number>;

  /** Runs a transaction; all its operations take effect together or none. */
  abstract txn(request: TxnRequest): KeyValueResult<TxnAnswer>;

  /** Asks for a lease that lapses `ttlMs` after its last renewal. */
  abstract grantLease(ttlMs: number): KeyValueResult<Lease>;

  /** Renews a lease. The answer's `ttlMs` is 0 where it has lapsed. */
  abstract keepLeaseAlive(leaseId: string): KeyValueResult<Lease>;

  /** Ends a lease and deletes its keys. */
  abstract revokeLease(leaseId: string): KeyValueResult<void>;

  /** Closes idle connections. Open watches are closed by their owners. */
  abstract close(): Promise<void>;

  /** Opens one watch connection; `WatchLoop` opens the next when it ends. */
  protected abstract openWatch(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
    pace: WatchPace | undefined,
  ): CancelTimer;

  /** Reads one key; the value is undefined where the key is absent. */
  async get(key: string): KeyValueResult<KeyValueEntry | undefined> {
    const answer = await this.range({ key });
    return answer.map((range) => range.entries[0]);
  }

  /** Writes a key whatever its value was. */
  async put(
    key: string,
    value: string,
    leaseId?: string,
  ): KeyValueResult<TxnAnswer> {
    return await this.txn({
      compares: [],
      success: [{ kind: "put", key, value, leaseId }],
      failure: [],
    });
  }

  /** Deletes a key whatever its value was. */
  async delete(key: string): KeyValueResult<TxnAnswer> {
    return await this.txn({
      compares: [],
      success: [{ kind: "delete", selection: { key } }],
      failure: [],
    });
  }

  /** Writes a key only where it is absent. */
  async create(
    key: string,
    value: string,
    leaseId?: string,
  ): KeyValueResult<SwapAnswer> {
    return await this.#swap(
      { target: "create", key, comparison: "equal", operand: 0 },
      key,
      value,
      leaseId,
    );
  }

  /** Writes a key only where it was last written at `modRevision`. */
  async replace(
    key: string,
    value: string,
    modRevision: number,
    leaseId?: string,
  ): KeyValueResult<SwapAnswer> {
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
        return this.openWatch(selection, startRevision, sink, options.pace);
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
  ): KeyValueResult<SwapAnswer> {
    const answer = await this.txn({
      compares: [compare],
      success: [{ kind: "put", key, value, leaseId }],
      failure: [{ kind: "range", selection: { key } }],
    });
    return answer.map((txn) => ({
      swapped: txn.succeeded,
      revision: txn.revision,
      current: txn.succeeded ? undefined : txn.operations[0]?.entries[0],
    }));
  }
}
