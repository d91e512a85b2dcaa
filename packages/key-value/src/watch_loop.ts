import type { Result } from "neverthrow";
import type {
  CancelTimer,
  StoreRevision,
  TimerService,
} from "@coltsfootford/core";
import type { KeyValueError } from "./key_value_error.ts";
import type {
  KeySelection,
  RangeResponse,
  WatchBatch,
  WatchEvent,
} from "./key_value_types.ts";

/** Backoff before the first reconnect. */
const INITIAL_BACKOFF_MS = 100;
/** Maximum backoff before a reconnect. */
const MAX_BACKOFF_MS = 5_000;

/** Timeout until the service accepts a watch; a hung service never does. */
const OPEN_TIMEOUT_MS = 5_000;

/**
 * Changes of keys that were changed again within one delivery, from which the
 * current entries are read in place of the next part of the history.
 */
const MAX_SUPERSEDED_EVENTS = 4;

/** Limits of a client that implements watches by long polling. */
export interface LongPollLimits {
  /** Minimum time between a delivery and the next call. */
  readonly minIntervalMs: number;
  /** Maximum wait of one call; also the time to detect a lost connection. */
  readonly maxWaitMs: number;
}

/** The keys to watch and the callbacks of the watch. */
export interface WatchOptions {
  readonly selection: KeySelection;
  /** First revision to deliver; if absent, the watch starts with a snapshot. */
  readonly startRevision?: number;
  /** Called for one batch at a time; the next waits for the returned promise. */
  readonly onBatch: (batch: WatchBatch) => Promise<void> | void;
  /** Called when the watch opens or loses its connection. */
  readonly onConnected?: (isConnected: boolean) => void;
  /** Maximum backoff before a reconnect; defaults to `MAX_BACKOFF_MS`. */
  readonly maxBackoffMs?: number;
  /** For clients that use long polling; others ignore it. */
  readonly longPoll?: LongPollLimits;
}

/** An open watch. */
export interface Watch {
  /**
   * Reconnects immediately and starts with a snapshot instead of the history.
   * After a gap the history may be many times as large as the current entries.
   */
  reopen(): void;
  /** Reconnects immediately and continues with the history. */
  reconnect(): void;
  /** Ends the watch; no batch is delivered afterwards. */
  close(): void;
}

/** Why a watch connection ended. */
export type WatchEndReason = "lost" | "compacted";

/** Receives the events of one watch connection. */
export interface WatchSink {
  /** The service accepted the watch at this revision of the store. */
  onOpen(revision: StoreRevision): void;
  onEvents(events: readonly WatchEvent[], revision: StoreRevision): void;
  onEnd(reason: WatchEndReason): void;
}

/** Dependencies of a `WatchLoop`. */
export interface WatchLoopDependencies {
  readonly options: WatchOptions;
  readonly timer: TimerService;
  readonly random: () => number;
  readonly range: (
    selection: KeySelection,
  ) => Promise<Result<RangeResponse, KeyValueError>>;
  readonly open: (
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
  ) => CancelTimer;
}

/**
 * Keeps one watch open across lost connections. After a gap in the history, the
 * loop reads the keys again and delivers them as a snapshot. A new era of the
 * store is such a gap: its revisions are not those that the watch starts from,
 * so the watch would deliver nothing, or leave out what came before.
 */
export class WatchLoop implements Watch {
  readonly #dependencies: WatchLoopDependencies;
  /** Undefined if the next connection must start with a snapshot. */
  #nextRevision: number | undefined;
  /** The era of that revision; undefined until a response tells it. */
  #era: number | undefined;
  #backoffMs = INITIAL_BACKOFF_MS;
  #isClosed = false;
  /** Number of the connection; late events of older ones are dropped. */
  #generation = 0;
  #closeConnection: CancelTimer = () => {};
  #cancelTimer: CancelTimer = () => {};
  #delivery: Promise<void> = Promise.resolve();

  constructor(dependencies: WatchLoopDependencies) {
    this.#dependencies = dependencies;
    this.#nextRevision = dependencies.options.startRevision;
  }

  /** Opens the first connection. */
  start(): void {
    void this.#connect();
  }

  reopen(): void {
    this.#nextRevision = undefined;
    this.reconnect();
  }

  reconnect(): void {
    if (this.#isClosed) return;
    this.#cancelTimer();
    this.#closeConnection();
    void this.#connect();
  }

  close(): void {
    this.#isClosed = true;
    this.#generation += 1;
    this.#cancelTimer();
    this.#closeConnection();
  }

  async #connect(): Promise<void> {
    if (this.#isClosed) return;
    const generation = ++this.#generation;
    if (this.#nextRevision === undefined) {
      const hasSnapshot = await this.#readSnapshot(generation);
      if (generation !== this.#generation) return;
      if (!hasSnapshot) return this.#reconnectLater();
    }
    const startRevision = this.#nextRevision ?? 1;
    const waitMs = this.#dependencies.options.longPoll?.maxWaitMs ?? 0;
    const timeoutMs = OPEN_TIMEOUT_MS + waitMs;
    this.#cancelTimer = this.#dependencies.timer.after(timeoutMs, () => {
      this.#closeConnection();
      this.#onEnd("lost");
    });
    this.#closeConnection = this.#dependencies.open(
      this.#dependencies.options.selection,
      startRevision,
      this.#createSink(generation),
    );
  }

  async #readSnapshot(generation: number): Promise<boolean> {
    const result = await this.#dependencies.range(
      this.#dependencies.options.selection,
    );
    if (generation !== this.#generation || result.isErr()) return false;
    const { entries, revision } = result.value;
    this.#nextRevision = revision.revision + 1;
    this.#era = revision.era;
    this.#deliver({ kind: "snapshot", entries, revision });
    return true;
  }

  #createSink(generation: number): WatchSink {
    const isCurrent = () => generation === this.#generation;
    return {
      onOpen: (revision) => {
        if (isCurrent()) this.#onOpen(revision);
      },
      onEvents: (events, revision) => {
        if (isCurrent()) this.#onEvents(events, revision);
      },
      onEnd: (reason) => {
        if (isCurrent()) this.#onEnd(reason);
      },
    };
  }

  #onOpen(revision: StoreRevision): void {
    this.#cancelTimer();
    if (this.#isOtherEra(revision)) return this.#restartFromSnapshot();
    this.#backoffMs = INITIAL_BACKOFF_MS;
    this.#dependencies.options.onConnected?.(true);
  }

  #onEvents(events: readonly WatchEvent[], revision: StoreRevision): void {
    this.#cancelTimer();
    if (this.#isOtherEra(revision)) return this.#restartFromSnapshot();
    this.#nextRevision = revision.revision + 1;
    this.#deliver({ kind: "events", events, revision });
    const { longPoll } = this.#dependencies.options;
    if (!longPoll) return;
    if (countSuperseded(events) < MAX_SUPERSEDED_EVENTS) return;
    this.#closeConnection();
    this.#nextRevision = undefined;
    this.#connectAfter(longPoll.minIntervalMs);
  }

  #onEnd(reason: WatchEndReason): void {
    this.#dependencies.options.onConnected?.(false);
    // A long poll returns the history since the loss in one response, which may
    // be many times as large as the current entries.
    const hasLostLongPoll = reason === "lost" &&
      this.#dependencies.options.longPoll !== undefined;
    if (reason === "compacted" || hasLostLongPoll) {
      this.#nextRevision = undefined;
    }
    this.#reconnectLater();
  }

  #isOtherEra({ era }: StoreRevision): boolean {
    this.#era ??= era;
    return era !== this.#era;
  }

  #restartFromSnapshot(): void {
    this.#nextRevision = undefined;
    this.#closeConnection();
    this.#reconnectLater();
  }

  /** Reconnects after an exponential backoff with jitter (50 to 100% of it). */
  #reconnectLater(): void {
    const delayMs = this.#backoffMs * (0.5 + 0.5 * this.#dependencies.random());
    const maxMs = this.#dependencies.options.maxBackoffMs ?? MAX_BACKOFF_MS;
    this.#backoffMs = Math.min(maxMs, this.#backoffMs * 2);
    this.#connectAfter(delayMs);
  }

  #connectAfter(delayMs: number): void {
    this.#generation += 1;
    this.#cancelTimer();
    if (this.#isClosed) return;
    this.#cancelTimer = this.#dependencies.timer.after(
      delayMs,
      () => void this.#connect(),
    );
  }

  #deliver(batch: WatchBatch): void {
    this.#delivery = this.#delivery.then(async () => {
      if (this.#isClosed) return;
      await this.#dependencies.options.onBatch(batch);
    });
  }
}

/** Counts the events whose key has a later event. */
function countSuperseded(events: readonly WatchEvent[]): number {
  const keys = new Set(
    events.map((event) => event.kind === "put" ? event.entry.key : event.key),
  );
  return events.length - keys.size;
}
