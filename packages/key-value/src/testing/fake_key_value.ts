import { err, ok } from "neverthrow";
import type {
  CancelTimer,
  StoreRevision,
  TimerService,
} from "@coltsfootford/core";
import { KeyValueClient, type KeyValueResult } from "../key_value_client.ts";
import { createKeyValueError } from "../key_value_error.ts";
import type {
  KeySelection,
  Lease,
  RangeResponse,
  TxnRequest,
  TxnResponse,
  WatchEvent,
} from "../key_value_types.ts";
import type { LongPollLimits, WatchSink } from "../watch_loop.ts";
import {
  FakeKeyValueStore,
  isSelected,
  type TransactionEvents,
} from "./fake_key_value_store.ts";

const PEER = "fake-platform";

/** Injected faults of one client of the fake service. */
export interface FakeKeyValueFaults {
  /** Every call fails as unreachable, and new watches end immediately. */
  isDown: boolean;
  /** Number of next writes that are applied and whose responses are lost. */
  lostWriteResponses: number;
  /** Number of next writes that are lost before they are applied. */
  lostWriteRequests: number;
  /** Limits lost writes to keys with this prefix. */
  lossKeyPrefix: string;
  /** New watches are never accepted and never end. */
  areWatchesHung: boolean;
  /** Time after which a call in an outage fails; a silent service hangs it. */
  failureDelayMs: number;
  /** Delay before each response. */
  responseDelayMs: number;
}

/**
 * An in-memory key-value service. Several clients may share one store. Each has
 * its own faults, so that one can be disconnected while the others continue.
 */
export class FakeKeyValue extends KeyValueClient {
  readonly store: FakeKeyValueStore;
  readonly faults: FakeKeyValueFaults = {
    isDown: false,
    lostWriteResponses: 0,
    lostWriteRequests: 0,
    lossKeyPrefix: "",
    areWatchesHung: false,
    failureDelayMs: 0,
    responseDelayMs: 0,
  };
  readonly #openSinks = new Set<WatchSink>();

  constructor(timer: TimerService, store = new FakeKeyValueStore()) {
    super(timer, () => 0.5);
    this.store = store;
  }

  /** Starts or ends an outage of this client. */
  setDown(isDown: boolean): void {
    this.faults.isDown = isDown;
    if (isDown) this.endWatches();
  }

  /** Ends the connections of all open watches. */
  endWatches(): void {
    for (const sink of [...this.#openSinks]) sink.onEnd("lost");
    this.#openSinks.clear();
  }

  override async range(selection: KeySelection): KeyValueResult<RangeResponse> {
    this.calls.reads += 1;
    const begunAt = this.history.latest;
    const result = await this.#respond(
      "key-value.range",
      () => this.store.range(selection),
    );
    return result.map((page) => ({
      ...page,
      revision: this.#place(page.revision, begunAt),
    }));
  }

  override async readRevision(): KeyValueResult<StoreRevision> {
    this.calls.reads += 1;
    const result = await this.#respond(
      "key-value.revision",
      () => this.store.range({ key: "" }),
    );
    return result.map(({ revision }) =>
      this.history.placeStale({ revision, era: this.store.era })
    );
  }

  override async txn(request: TxnRequest): KeyValueResult<TxnResponse> {
    this.calls.writes += 1;
    const step = "key-value.txn";
    const lost = err(createKeyValueError("answer-lost", step, PEER, "lost"));
    const mayBeLost = writesTo(request, this.faults.lossKeyPrefix);
    if (mayBeLost && this.faults.lostWriteRequests > 0) {
      this.faults.lostWriteRequests -= 1;
      return lost;
    }
    const result = await this.#respond(step, () => this.store.txn(request));
    if (result.isErr() || !mayBeLost || this.faults.lostWriteResponses === 0) {
      return result;
    }
    this.faults.lostWriteResponses -= 1;
    return lost;
  }

  override async grantLease(ttlMs: number): KeyValueResult<Lease> {
    this.calls.leases += 1;
    return await this.#respond("key-value.lease-grant", () => ({
      leaseId: this.store.grantLease(ttlMs, this.timer.nowMs()),
      ttlMs,
    }));
  }

  override async keepLeaseAlive(leaseId: string): KeyValueResult<Lease> {
    this.calls.leases += 1;
    return await this.#respond("key-value.lease-keepalive", () => ({
      leaseId,
      ttlMs: this.store.keepLeaseAlive(leaseId, this.timer.nowMs()),
    }));
  }

  override async revokeLease(leaseId: string): KeyValueResult<void> {
    this.calls.leases += 1;
    return await this.#respond(
      "key-value.lease-revoke",
      () => this.store.revokeLease(leaseId),
    );
  }

  override close(): Promise<void> {
    this.#openSinks.clear();
    return Promise.resolve();
  }

  protected override openWatch(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
    longPoll: LongPollLimits | undefined,
  ): CancelTimer {
    if (this.faults.isDown) {
      queueMicrotask(() => sink.onEnd("lost"));
      return () => {};
    }
    if (this.faults.areWatchesHung) return () => {};
    if (startRevision <= this.store.compactRevision) {
      queueMicrotask(() => sink.onEnd("compacted"));
      return () => {};
    }
    const minIntervalMs = longPoll?.minIntervalMs ?? 0;
    return this.#followStore(selection, startRevision, sink, minIntervalMs);
  }

  #followStore(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
    minIntervalMs: number,
  ): CancelTimer {
    let nextRevision = startRevision;
    let isPausing = false;
    const begunAt = this.history.latest;
    const deliver = () => {
      if (isPausing || !this.#openSinks.has(sink)) return;
      if (this.store.revision < nextRevision) return;
      if (minIntervalMs > 0) {
        isPausing = true;
        this.timer.after(minIntervalMs, () => {
          isPausing = false;
          deliver();
        });
      }
      const batches = this.store.historyFrom(nextRevision);
      // A long poll returns all changes since its revision in one response.
      for (const batch of minIntervalMs > 0 ? merge(batches) : batches) {
        nextRevision = batch.revision + 1;
        const events = batch.events.filter((event) =>
          isSelected(selection, readKey(event))
        );
        if (events.length > 0) {
          sink.onEvents(events, this.#place(batch.revision, begunAt));
        }
      }
    };
    this.#openSinks.add(sink);
    const unsubscribe = this.store.subscribe(deliver);
    queueMicrotask(() => {
      if (!this.#openSinks.has(sink)) return;
      sink.onOpen(this.#place(this.store.revision, begunAt));
      deliver();
    });
    return () => {
      this.#openSinks.delete(sink);
      unsubscribe();
    };
  }

  #place(revision: number, begunAt: StoreRevision): StoreRevision {
    return this.history.place({ revision, era: this.store.era }, begunAt);
  }

  async #respond<Value>(
    step: string,
    operation: () => Value,
  ): KeyValueResult<Value> {
    await Promise.resolve();
    if (this.faults.isDown) {
      await this.#wait(this.faults.failureDelayMs);
      return err(createKeyValueError("unreachable", step, PEER, "down"));
    }
    this.store.expireLeases(this.timer.nowMs());
    const value = operation();
    await this.#wait(this.faults.responseDelayMs);
    return ok(value);
  }

  async #wait(durationMs: number): Promise<void> {
    if (durationMs === 0) return;
    await new Promise<void>((resolve) => {
      this.timer.after(durationMs, resolve);
    });
  }
}

/** One batch with the events of all; none if there is none. */
function merge(
  batches: readonly TransactionEvents[],
): readonly TransactionEvents[] {
  const last = batches.at(-1);
  if (!last) return [];
  const events = batches.flatMap((batch) => batch.events);
  return [{ revision: last.revision, events }];
}

function readKey(event: WatchEvent): string {
  return event.kind === "put" ? event.entry.key : event.key;
}

function writesTo(request: TxnRequest, prefix: string): boolean {
  return [...request.success, ...request.failure].some((operation) => {
    if (operation.kind === "put") return operation.key.startsWith(prefix);
    if (operation.kind === "range") return false;
    const { selection } = operation;
    const key = "key" in selection ? selection.key : selection.prefix;
    return key.startsWith(prefix);
  });
}
