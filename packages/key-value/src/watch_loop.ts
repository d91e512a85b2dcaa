import type { Result } from "neverthrow";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { KeyValueError } from "./key_value_error.ts";
import type {
  KeySelection,
  RangeAnswer,
  WatchBatch,
  WatchEvent,
} from "./key_value_types.ts";

/** Wait before the first reconnect. */
const INITIAL_BACKOFF_MS = 100;
/** Longest wait before a reconnect. */
const MAX_BACKOFF_MS = 5_000;

/** Longest wait until the service accepts a watch; a hung one never does. */
const OPEN_TIMEOUT_MS = 5_000;

/** How often a client asks that watches by asking again and again. */
export interface WatchPace {
  /** Least time between a delivery and the next call. */
  readonly minIntervalMs: number;
  /** Longest wait of one call; a lost connection shows after it. */
  readonly maxWaitMs: number;
}

/** What to watch, and who is told. */
export interface WatchOptions {
  readonly selection: KeySelection;
  /** First revision to deliver; absent means a snapshot first. */
  readonly startRevision?: number;
  /** Called for one batch at a time; the next waits for its promise. */
  readonly onBatch: (batch: WatchBatch) => Promise<void> | void;
  /** Called when the watch connects or loses its connection. */
  readonly onConnected?: (isConnected: boolean) => void;
  /** Longest wait before a reconnect; `MAX_BACKOFF_MS` where absent. */
  readonly maxBackoffMs?: number;
  /** For clients that ask again and again; others may ignore it. */
  readonly pace?: WatchPace;
}

/** A running watch. */
export interface Watch {
  /**
   * Connects anew at once, from a snapshot: after a gap the history may be many
   * times as large as what there is now.
   */
  reopen(): void;
  /** Ends the watch; no batch is delivered afterwards. */
  close(): void;
}

/** Why one watch connection ended. */
export type WatchEndReason = "lost" | "compacted";

/** Receives what one watch connection delivers. */
export interface WatchSink {
  /** The service accepted the watch at this revision of the store. */
  onOpen(revision: number): void;
  onEvents(events: readonly WatchEvent[], revision: number): void;
  onEnd(reason: WatchEndReason): void;
}

/** What a `WatchLoop` needs of its client. */
export interface WatchLoopParts {
  readonly options: WatchOptions;
  readonly timer: TimerService;
  readonly random: () => number;
  readonly range: (
    selection: KeySelection,
  ) => Promise<Result<RangeAnswer, KeyValueError>>;
  readonly open: (
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
  ) => CancelTimer;
}

/**
 * Keeps one watch open across lost connections. After a gap in the history it
 * reads the keys again and delivers them as a snapshot. A store whose revision
 * is lower than one seen before was restored; that is a gap as well, since a
 * watch from a future revision would wait without a word.
 */
export class WatchLoop implements Watch {
  readonly #parts: WatchLoopParts;
  /** Undefined while a snapshot is due. */
  #nextRevision: number | undefined;
  #backoffMs = INITIAL_BACKOFF_MS;
  #isClosed = false;
  /** Counts connections, so that a late event of an old one is dropped. */
  #generation = 0;
  #closeConnection: CancelTimer = () => {};
  #cancelTimer: CancelTimer = () => {};
  #delivery: Promise<void> = Promise.resolve();

  constructor(parts: WatchLoopParts) {
    this.#parts = parts;
    this.#nextRevision = parts.options.startRevision;
  }

  /** Connects for the first time. */
  start(): void {
    void this.#connect();
  }

  reopen(): void {
    if (this.#isClosed) return;
    this.#cancelTimer();
    this.#closeConnection();
    this.#nextRevision = undefined;
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
      const isRead = await this.#readSnapshot(generation);
      if (generation !== this.#generation) return;
      if (!isRead) return this.#reconnectLater();
    }
    const startRevision = this.#nextRevision ?? 1;
    const waitMs = this.#parts.options.pace?.maxWaitMs ?? 0;
    const timeoutMs = OPEN_TIMEOUT_MS + waitMs;
    this.#cancelTimer = this.#parts.timer.after(timeoutMs, () => {
      this.#closeConnection();
      this.#onEnd("lost");
    });
    this.#closeConnection = this.#parts.open(
      this.#parts.options.selection,
      startRevision,
      this.#createSink(generation),
    );
  }

  async #readSnapshot(generation: number): Promise<boolean> {
    const answer = await this.#parts.range(this.#parts.options.selection);
    if (generation !== this.#generation || answer.isErr()) return false;
    const { entries, revision } = answer.value;
    this.#nextRevision = revision + 1;
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

  #onOpen(revision: number): void {
    this.#cancelTimer();
    if (this.#isRestoredStore(revision)) return this.#restartFromSnapshot();
    this.#backoffMs = INITIAL_BACKOFF_MS;
    this.#parts.options.onConnected?.(true);
  }

  #onEvents(events: readonly WatchEvent[], revision: number): void {
    this.#cancelTimer();
    if (this.#isRestoredStore(revision)) return this.#restartFromSnapshot();
    this.#nextRevision = revision + 1;
    this.#deliver({ kind: "events", events, revision });
  }

  #onEnd(reason: WatchEndReason): void {
    this.#parts.options.onConnected?.(false);
    if (reason === "compacted") this.#nextRevision = undefined;
    this.#reconnectLater();
  }

  #isRestoredStore(revision: number): boolean {
    return revision < (this.#nextRevision ?? 0) - 1;
  }

  #restartFromSnapshot(): void {
    this.#nextRevision = undefined;
    this.#closeConnection();
    this.#reconnectLater();
  }

  /** Waits with exponential backoff, between half and the whole of it. */
  #reconnectLater(): void {
    this.#generation += 1;
    this.#cancelTimer();
    if (this.#isClosed) return;
    const delayMs = this.#backoffMs * (0.5 + 0.5 * this.#parts.random());
    const maxMs = this.#parts.options.maxBackoffMs ?? MAX_BACKOFF_MS;
    this.#backoffMs = Math.min(maxMs, this.#backoffMs * 2);
    this.#cancelTimer = this.#parts.timer.after(
      delayMs,
      () => void this.#connect(),
    );
  }

  #deliver(batch: WatchBatch): void {
    this.#delivery = this.#delivery.then(async () => {
      if (this.#isClosed) return;
      await this.#parts.options.onBatch(batch);
    });
  }
}
