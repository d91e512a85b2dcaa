import {
  type CancelTimer,
  INITIAL_REVISION,
  isLater,
  startsEra,
  type StoreRevision,
  type TimerService,
} from "@coltsfootford/core";
import type {
  KeyValueClient,
  LongPollLimits,
  Watch,
  WatchBatch,
} from "@coltsfootford/key-value";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { FollowedPrefix } from "./followed_prefix.ts";

/**
 * Largest share of the time in which a change has to take effect that passes
 * between two deliveries. A pause batches bursts of changes into few calls.
 */
const MAX_PAUSE_SHARE = 0.5;
/** Time to replace a watch or a relay that no longer delivers. */
const REPLACEMENT_MS = 2_000;
/** A shorter pause does not shorten the replacement much. */
const USUAL_PAUSE_MS = 1_000;
/**
 * Bounds the time until a watch on a silent connection is replaced. Probes find
 * it sooner, unless they all get new connections.
 */
const MAX_WAIT_MS = 2_500;
/** Longest backoff before a broken watch is reopened without a probe. */
const MAX_BACKOFF_MS = 2_000;
/** How often the store's revision is compared with the watch's revision. */
const PROBE_PERIOD_MS = 1_000;
/** Time for which a delivery of the watch makes a probe needless. */
const BATCH_CONFIRMS_MS = 500;
/** A healthy store responds in a few ms, a slow one in a few hundred ms. */
const PROBE_TIMEOUT_MS = 800;
/** Bytes received within this time show that a response is still arriving. */
const RECEIVING_MS = 500;
/** Time for in-flight events to arrive after a probe's response. */
const IN_FLIGHT_EVENTS_MS = 200;

/** Dependencies of a `StoreFollowerController`. */
export interface StoreFollowerDependencies {
  readonly store: KeyValueClient;
  readonly followed: readonly FollowedPrefix[];
  /** Time within which a change in the store has to take effect. */
  readonly changeApplyMs: number;
  readonly timer: TimerService;
  readonly log: Logger;
}

/**
 * Feeds all followed prefixes from one watch over all keys of the store. A
 * watch may stop delivering without an error, so cheap reads of the store's
 * revision detect missed changes.
 */
export class StoreFollowerController extends Controller {
  override readonly name = "store-follower";
  readonly #dependencies: StoreFollowerDependencies;
  /** Called when the store confirms what is known, or tells what is new. */
  onConfirmed: () => void = () => {};
  #watch: Watch | undefined;
  #isPaused = false;
  /** The point of the store's history up to which the watch has delivered. */
  #revision = INITIAL_REVISION;
  /** The era for which the watch was reopened last. */
  #reopenedForEra = 0;
  #lastBatchAtMs = -Infinity;
  #isProbing = false;
  #probedAtMs = -Infinity;
  /**
   * When a probe failed last, be it that another attempt succeeded at once. The
   * watch was then out of reach as well, and may not deliver any more; the next
   * probe does not show that, as it may return an outdated revision.
   */
  #failedAtMs = -Infinity;
  #reopened = 0;
  #cancelProbes: CancelTimer = () => {};
  #cancelCheck: CancelTimer = () => {};

  constructor(dependencies: StoreFollowerDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override start(): Promise<void> {
    this.#openWatch();
    this.#cancelProbes = this.#dependencies.timer.every(
      PROBE_PERIOD_MS,
      () => void this.#probe(true),
    );
    return Promise.resolve();
  }

  /** Closes the watch; another daemon relays the store's changes. */
  pause(): void {
    this.#isPaused = true;
    this.#cancelCheck();
    this.#watch?.close();
    this.#watch = undefined;
  }

  /** Opens the watch again; it begins with the current entries. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#lastBatchAtMs = this.#dependencies.timer.nowMs();
    this.#openWatch();
  }

  override stop(): Promise<void> {
    this.#cancelProbes();
    this.#cancelCheck();
    this.#watch?.close();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { ...this.#revision, reopened: this.#reopened };
  }

  #openWatch(): void {
    const { store, changeApplyMs } = this.#dependencies;
    const longPoll: LongPollLimits = {
      minIntervalMs: Math.min(
        changeApplyMs * MAX_PAUSE_SHARE,
        Math.max(USUAL_PAUSE_MS, changeApplyMs - REPLACEMENT_MS),
      ),
      maxWaitMs: MAX_WAIT_MS,
    };
    this.#watch = store.watch({
      selection: { prefix: "" },
      maxBackoffMs: MAX_BACKOFF_MS,
      longPoll,
      onBatch: (batch) => this.#applyBatch(batch),
    });
  }

  #applyBatch(batch: WatchBatch): void {
    if (this.#isPaused) return;
    if (startsEra(this.#revision, batch.revision)) {
      this.#dependencies.log.event("storeRestored", {
        before: this.#revision,
        after: batch.revision,
      });
    }
    this.#revision = batch.revision;
    this.#lastBatchAtMs = this.#dependencies.timer.nowMs();
    for (const followed of this.#dependencies.followed) {
      followed.applyBatch(batch);
    }
    this.onConfirmed();
  }

  /** Retries a lost probe immediately, once, on another connection. */
  async #probe(mayRetry: boolean): Promise<void> {
    const { store, timer } = this.#dependencies;
    if (this.#isPaused || this.#reopenForNewEra()) return;
    const sinceLastBatchMs = timer.nowMs() - this.#lastBatchAtMs;
    if (sinceLastBatchMs < BATCH_CONFIRMS_MS || this.#isProbing) return;
    this.#isProbing = true;
    const revision = await store.readRevision(PROBE_TIMEOUT_MS);
    this.#isProbing = false;
    if (this.#isPaused) return;
    if (revision.isErr()) {
      this.#failedAtMs = timer.nowMs();
      const isLost = revision.error.kind === "answer-lost";
      if (isLost && mayRetry) await this.#probe(false);
      return;
    }
    this.#probedAtMs = timer.nowMs();
    if (this.#reopenForNewEra()) return;
    if (this.#lastBatchAtMs < this.#failedAtMs) {
      this.#failedAtMs = -Infinity;
      return this.#replace(revision.value, mayRetry);
    }
    if (!isLater(revision.value, this.#revision)) return this.onConfirmed();
    this.#cancelCheck();
    this.#cancelCheck = timer.after(
      IN_FLIGHT_EVENTS_MS,
      () => this.#reopenIfBehind(revision.value),
    );
  }

  /**
   * Reopens a watch of an earlier era once. Its revisions mean nothing in a
   * restored store, so it may never deliver again.
   */
  #reopenForNewEra(): boolean {
    const { latest } = this.#dependencies.store.history;
    if (!startsEra(this.#revision, latest)) return false;
    if (latest.era === this.#reopenedForEra) return false;
    this.#reopenedForEra = latest.era;
    this.#replace(latest, true);
    return true;
  }

  /** Reopens a stale watch, unless a large response is still arriving. */
  #reopenIfBehind(storeRevision: StoreRevision): void {
    if (!isLater(storeRevision, this.#revision)) return;
    const { store, timer } = this.#dependencies;
    const isReceiving = timer.nowMs() - store.lastReceivedAtMs < RECEIVING_MS &&
      store.lastReceivedAtMs > this.#probedAtMs;
    if (isReceiving) return;
    this.#replace(storeRevision, true);
  }

  /** Opens the watch anew, with a snapshot where much may have changed. */
  #replace(storeRevision: StoreRevision, withSnapshot: boolean): void {
    this.#reopened += 1;
    this.#dependencies.log.event("watchReopened", {
      revision: this.#revision,
      storeRevision,
      withSnapshot,
    });
    if (withSnapshot) this.#watch?.reopen();
    else this.#watch?.reconnect();
  }
}
