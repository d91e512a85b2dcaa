import {
  type Compare,
  type KeySelection,
  type KeyValueEntry,
  NO_LEASE,
  type RangeResponse,
  type TxnOperation,
  type TxnOperationResponse,
  type TxnRequest,
  type TxnResponse,
  type WatchEvent,
} from "../key_value_types.ts";

/** The events of one transaction. */
export interface TransactionEvents {
  readonly revision: number;
  readonly events: readonly WatchEvent[];
}

/** Entries and the revision at which they were read. */
interface FakeRange extends Omit<RangeResponse, "revision"> {
  readonly revision: number;
}

/** A saved state of a `FakeKeyValueStore`. */
export interface FakeStoreBackup {
  readonly revision: number;
  readonly entries: readonly KeyValueEntry[];
  readonly leases: ReadonlyMap<string, FakeLease>;
  readonly nextLeaseId: number;
}

interface FakeLease {
  readonly ttlMs: number;
  readonly expiresAtMs: number;
}

/** The state of the fake service, shared by all its clients. */
export class FakeKeyValueStore {
  revision = 1;
  /** The era that responses report; undefined for a store that reports none. */
  era: number | undefined;
  /** The history up to this revision is deleted. */
  compactRevision = 0;
  #entries = new Map<string, KeyValueEntry>();
  #history: TransactionEvents[] = [];
  #leases = new Map<string, FakeLease>();
  readonly #listeners = new Set<() => void>();
  #nextLeaseId = 1;

  range(selection: KeySelection): FakeRange {
    const found = [...this.#entries.values()]
      .filter((entry) => isSelected(selection, entry.key))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const limit = "prefix" in selection ? selection.limitEntries ?? 0 : 0;
    const entries = limit > 0 ? found.slice(0, limit) : found;
    return {
      entries,
      hasMore: entries.length < found.length,
      revision: this.revision,
    };
  }

  txn(request: TxnRequest): TxnResponse {
    const succeeded = request.compares.every((item) => this.#isMet(item));
    const operations = succeeded ? request.success : request.failure;
    const events: WatchEvent[] = [];
    const responses = operations.map((item) => this.#execute(item, events));
    if (events.length > 0) {
      this.revision += 1;
      this.#history.push({ revision: this.revision, events });
    }
    for (const listener of [...this.#listeners]) listener();
    return { succeeded, revision: this.revision, operations: responses };
  }

  grantLease(ttlMs: number, nowMs: number): string {
    const leaseId = String(this.#nextLeaseId++);
    this.#leases.set(leaseId, { ttlMs, expiresAtMs: nowMs + ttlMs });
    return leaseId;
  }

  /** Renews a lease; returns its TTL in ms, or 0 if it has expired. */
  keepLeaseAlive(leaseId: string, nowMs: number): number {
    this.expireLeases(nowMs);
    const lease = this.#leases.get(leaseId);
    if (!lease) return 0;
    this.#leases.set(leaseId, { ...lease, expiresAtMs: nowMs + lease.ttlMs });
    return lease.ttlMs;
  }

  revokeLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    const keys = [...this.#entries.values()]
      .filter((entry) => entry.leaseId === leaseId)
      .map((entry) => entry.key);
    if (keys.length === 0) return;
    this.txn({
      compares: [],
      success: keys.map((key) => ({ kind: "delete", selection: { key } })),
      failure: [],
    });
  }

  /** Revokes the expired leases. */
  expireLeases(nowMs: number): void {
    for (const [leaseId, lease] of [...this.#leases]) {
      if (lease.expiresAtMs <= nowMs) this.revokeLease(leaseId);
    }
  }

  /** Returns the batches since a revision (inclusive), for a watch. */
  historyFrom(revision: number): readonly TransactionEvents[] {
    return this.#history.filter((batch) => batch.revision >= revision);
  }

  /** Calls `listener` after each transaction; returns the unsubscribe function. */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Deletes the history, so that watches from an older revision have a gap. */
  compact(): void {
    this.compactRevision = this.revision;
    this.#history = [];
  }

  backup(): FakeStoreBackup {
    return {
      revision: this.revision,
      entries: [...this.#entries.values()],
      leases: new Map(this.#leases),
      nextLeaseId: this.#nextLeaseId,
    };
  }

  /** Restores an older state and its revision, and begins the next era. */
  restore(backup: FakeStoreBackup): void {
    if (this.era !== undefined) this.era += 1;
    this.revision = backup.revision;
    this.#entries = new Map(backup.entries.map((entry) => [entry.key, entry]));
    this.#leases = new Map(backup.leases);
    this.#nextLeaseId = backup.nextLeaseId;
    this.#history = [];
  }

  #isMet(compare: Compare): boolean {
    const entry = this.#entries.get(compare.key);
    const found = readComparedValue(compare, entry);
    if (compare.comparison === "equal") return found === compare.operand;
    if (compare.comparison === "less") return found < compare.operand;
    return found > compare.operand;
  }

  #execute(
    operation: TxnOperation,
    events: WatchEvent[],
  ): TxnOperationResponse {
    if (operation.kind === "range") return this.range(operation.selection);
    if (operation.kind === "delete") {
      for (const entry of this.range(operation.selection).entries) {
        this.#entries.delete(entry.key);
        const modRevision = this.revision + 1;
        events.push({ kind: "delete", key: entry.key, modRevision });
      }
      return { entries: [] };
    }
    const entry = this.#createEntry(operation);
    this.#entries.set(entry.key, entry);
    events.push({ kind: "put", entry });
    return { entries: [] };
  }

  #createEntry(put: Extract<TxnOperation, { kind: "put" }>): KeyValueEntry {
    const old = this.#entries.get(put.key);
    const modRevision = this.revision + 1;
    return {
      key: put.key,
      value: put.value,
      createRevision: old?.createRevision ?? modRevision,
      modRevision,
      version: (old?.version ?? 0) + 1,
      leaseId: put.leaseId ?? NO_LEASE,
    };
  }
}

/** Whether a selection includes a key. */
export function isSelected(selection: KeySelection, key: string): boolean {
  if ("key" in selection) return key === selection.key;
  if (!key.startsWith(selection.prefix)) return false;
  return selection.fromKey === undefined || key >= selection.fromKey;
}

function readComparedValue(
  compare: Compare,
  entry: KeyValueEntry | undefined,
): number | string {
  if (compare.target === "mod") return entry?.modRevision ?? 0;
  if (compare.target === "version") return entry?.version ?? 0;
  if (compare.target === "create") return entry?.createRevision ?? 0;
  return entry?.value ?? "";
}
