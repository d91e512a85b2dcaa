/** A stored key with its versions. Keys are base64 text of their bytes. */
export interface StoredValue {
  readonly key: Buffer;
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** `0` if no lease is attached to the key. */
  readonly leaseId: string;
}

/** A change in the form in which watches receive it. */
export interface StoreEvent {
  readonly kind: "put" | "delete";
  /** For a delete: the key, the revision of the delete and an empty value. */
  readonly value: StoredValue;
}

/**
 * A range of keys: one key if `rangeEnd` is empty, else all from `key` up to
 * but excluding `rangeEnd`.
 */
export interface KeyRange {
  readonly key: Buffer;
  readonly rangeEnd: Buffer;
}

/** The complete state at one revision. */
export interface StoreSnapshot {
  readonly revision: number;
  readonly values: ReadonlyMap<string, StoredValue>;
}

const NO_LEASE = "0";
const EMPTY_VALUE = Buffer.alloc(0);

/**
 * Whether a key lies in a range by the rules of etcd: a `rangeEnd` of one zero
 * byte leaves the range open-ended.
 */
export function isInRange(key: Buffer, range: KeyRange): boolean {
  if (range.rangeEnd.length === 0) return key.equals(range.key);
  if (Buffer.compare(key, range.key) < 0) return false;
  const isOpenEnded = range.rangeEnd.length === 1 && range.rangeEnd[0] === 0;
  return isOpenEnded || Buffer.compare(key, range.rangeEnd) < 0;
}

/**
 * A store of versioned keys with one revision counter. All changes of one
 * transaction have the same revision.
 */
export class KeyValueStore {
  #revision = 1;
  #values = new Map<string, StoredValue>();
  #history: StoreEvent[] = [];
  #compactRevision = 0;
  #pendingEvents: StoreEvent[] = [];
  readonly #onEvents: (events: readonly StoreEvent[]) => void;

  constructor(onEvents: (events: readonly StoreEvent[]) => void) {
    this.#onEvents = onEvents;
  }

  get revision(): number {
    return this.#revision;
  }

  /** A watch can't start at this revision or an earlier one. */
  get compactRevision(): number {
    return this.#compactRevision;
  }

  /** Executes changes as one transaction. */
  transact<T>(changes: () => T): T {
    const result = changes();
    const events = this.#pendingEvents;
    if (events.length === 0) return result;
    this.#pendingEvents = [];
    this.#revision += 1;
    this.#history.push(...events);
    this.#onEvents(events);
    return result;
  }

  get(key: Buffer): StoredValue | undefined {
    return this.#values.get(key.toString("base64"));
  }

  /** The values of a range, ordered by key. */
  range(range: KeyRange): StoredValue[] {
    if (range.rangeEnd.length === 0) {
      const value = this.get(range.key);
      return value ? [value] : [];
    }
    return [...this.#values.values()]
      .filter((value) => isInRange(value.key, range))
      .sort((a, b) => Buffer.compare(a.key, b.key));
  }

  /** Stores a value and returns the previous one; only inside `transact`. */
  put(key: Buffer, value: Buffer, leaseId = NO_LEASE): StoredValue | undefined {
    const previous = this.get(key);
    const modRevision = this.#revision + 1;
    const stored: StoredValue = {
      key,
      value,
      createRevision: previous?.createRevision ?? modRevision,
      modRevision,
      version: (previous?.version ?? 0) + 1,
      leaseId,
    };
    this.#values.set(key.toString("base64"), stored);
    this.#pendingEvents.push({ kind: "put", value: stored });
    return previous;
  }

  /** Deletes a range and returns its values; only inside `transact`. */
  deleteRange(range: KeyRange): StoredValue[] {
    const deleted = this.range(range);
    for (const value of deleted) {
      this.#values.delete(value.key.toString("base64"));
      this.#pendingEvents.push({
        kind: "delete",
        value: this.#tombstone(value.key),
      });
    }
    return deleted;
  }

  /** The changes of a range since `revision`, inclusive, oldest first. */
  eventsSince(revision: number, range: KeyRange): StoreEvent[] {
    return this.#history.filter((event) =>
      event.value.modRevision >= revision && isInRange(event.value.key, range)
    );
  }

  /** The values that are attached to a lease. */
  listByLease(leaseId: string): StoredValue[] {
    return [...this.#values.values()].filter((value) =>
      value.leaseId === leaseId
    );
  }

  compact(revision: number): void {
    this.#compactRevision = Math.min(revision, this.#revision);
    this.#history = this.#history.filter((event) =>
      event.value.modRevision > this.#compactRevision
    );
  }

  save(): StoreSnapshot {
    return { revision: this.#revision, values: new Map(this.#values) };
  }

  /** Reverts to an older state and revision, as a restored backup does. */
  restore(snapshot: StoreSnapshot): void {
    this.#revision = snapshot.revision;
    this.#values = new Map(snapshot.values);
    this.#history = this.#history.filter((event) =>
      event.value.modRevision <= snapshot.revision
    );
  }

  #tombstone(key: Buffer): StoredValue {
    return {
      key,
      value: EMPTY_VALUE,
      createRevision: 0,
      modRevision: this.#revision + 1,
      version: 0,
      leaseId: NO_LEASE,
    };
  }
}
