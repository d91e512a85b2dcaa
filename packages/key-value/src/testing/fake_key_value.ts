import { err, ok } from "neverthrow";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import { KeyValueClient, type KeyValueResult } from "../key_value_client.ts";
import { createKeyValueError } from "../key_value_error.ts";
import type {
  KeySelection,
  Lease,
  RangeAnswer,
  TxnAnswer,
  TxnRequest,
  WatchEvent,
} from "../key_value_types.ts";
import type { WatchSink } from "../watch_loop.ts";
import { FakeKeyValueStore, matches } from "./fake_key_value_store.ts";

const PEER = "fake-platform";

/** Faults of one client of the fake service. */
export interface FakeKeyValueFaults {
  /** Every call is refused before it is sent, and watches end. */
  isDown: boolean;
  /** The next so many writes are applied and their answers lost. */
  lostWriteAnswers: number;
  /** The next so many writes are lost on the way, as if they timed out. */
  lostWriteRequests: number;
  /** Only writes to keys with this prefix are lost. */
  lossKeyPrefix: string;
  /** New watches are taken and never answered. */
  areWatchesHung: boolean;
  /** Wait before each answer. */
  answerDelayMs: number;
}

/**
 * A key-value service in memory. Several clients may share one store; each has
 * its own faults, so that one can be cut off while the others go on.
 */
export class FakeKeyValue extends KeyValueClient {
  readonly store: FakeKeyValueStore;
  readonly faults: FakeKeyValueFaults = {
    isDown: false,
    lostWriteAnswers: 0,
    lostWriteRequests: 0,
    lossKeyPrefix: "",
    areWatchesHung: false,
    answerDelayMs: 0,
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

  /** Breaks the connections of all open watches. */
  endWatches(): void {
    for (const sink of [...this.#openSinks]) sink.onEnd("lost");
    this.#openSinks.clear();
  }

  override async range(selection: KeySelection): KeyValueResult<RangeAnswer> {
    this.calls.reads += 1;
    return await this.#answer(
      "key-value.range",
      () => this.store.range(selection),
    );
  }

  override async readRevision(): KeyValueResult<number> {
    this.calls.reads += 1;
    const answer = await this.#answer(
      "key-value.revision",
      () => this.store.range({ key: "" }),
    );
    return answer.map(({ revision }) => revision);
  }

  override async txn(request: TxnRequest): KeyValueResult<TxnAnswer> {
    this.calls.writes += 1;
    const step = "key-value.txn";
    const lost = err(createKeyValueError("answer-lost", step, PEER, "lost"));
    const mayBeLost = writesTo(request, this.faults.lossKeyPrefix);
    if (mayBeLost && this.faults.lostWriteRequests > 0) {
      this.faults.lostWriteRequests -= 1;
      return lost;
    }
    const answer = await this.#answer(step, () => this.store.txn(request));
    if (answer.isErr() || !mayBeLost || this.faults.lostWriteAnswers === 0) {
      return answer;
    }
    this.faults.lostWriteAnswers -= 1;
    return lost;
  }

  override async grantLease(ttlMs: number): KeyValueResult<Lease> {
    this.calls.leases += 1;
    return await this.#answer("key-value.lease-grant", () => ({
      leaseId: this.store.grantLease(ttlMs, this.timer.nowMs()),
      ttlMs,
    }));
  }

  override async keepLeaseAlive(leaseId: string): KeyValueResult<Lease> {
    this.calls.leases += 1;
    return await this.#answer("key-value.lease-keepalive", () => ({
      leaseId,
      ttlMs: this.store.keepLeaseAlive(leaseId, this.timer.nowMs()),
    }));
  }

  override async revokeLease(leaseId: string): KeyValueResult<void> {
    this.calls.leases += 1;
    return await this.#answer(
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
    return this.#followStore(selection, startRevision, sink);
  }

  #followStore(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
  ): CancelTimer {
    let nextRevision = startRevision;
    const deliver = () => {
      if (!this.#openSinks.has(sink)) return;
      for (const batch of this.store.historyFrom(nextRevision)) {
        nextRevision = batch.revision + 1;
        const events = batch.events.filter((event) =>
          matches(selection, readKey(event))
        );
        if (events.length > 0) sink.onEvents(events, batch.revision);
      }
    };
    this.#openSinks.add(sink);
    const unsubscribe = this.store.subscribe(deliver);
    queueMicrotask(() => {
      if (!this.#openSinks.has(sink)) return;
      sink.onOpen(this.store.revision);
      deliver();
    });
    return () => {
      this.#openSinks.delete(sink);
      unsubscribe();
    };
  }

  async #answer<Value>(
    step: string,
    run: () => Value,
  ): KeyValueResult<Value> {
    await Promise.resolve();
    if (this.faults.isDown) {
      return err(createKeyValueError("unreachable", step, PEER, "down"));
    }
    this.store.expireLeases(this.timer.nowMs());
    const value = run();
    const { answerDelayMs } = this.faults;
    if (answerDelayMs > 0) {
      await new Promise<void>((resolve) => {
        this.timer.after(answerDelayMs, resolve);
      });
    }
    return ok(value);
  }
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
