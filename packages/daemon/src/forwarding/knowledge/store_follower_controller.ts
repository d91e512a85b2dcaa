import { type CancelTimer, type TimerService } from "@coltsfootford/core";
import type {
  KeyValueClient,
  Watch,
  WatchBatch,
  WatchPace,
} from "@coltsfootford/key-value";
import { Controller } from "../../controllers/index.ts";
import type { Logger } from "../../log/index.ts";
import type { FollowedPrefix } from "./followed_prefix.ts";

/**
 * A delivery is followed by a pause, so that many changes at once take few
 * calls; it stays well within the bounds on changes, two seconds. The wait is
 * long, since probes notice a watch that has gone silent.
 */
const PACE: WatchPace = { minIntervalMs: 1_000, maxWaitMs: 20_000 };
/** Longest wait before a broken watch is opened again without a probe. */
const MAX_BACKOFF_MS = 2_000;
/** How often the store's revision is compared with the one that is known. */
const PROBE_PERIOD_MS = 1_000;
/** A store in good order answers in some ms, a slow one in some hundred. */
const PROBE_TIMEOUT_MS = 800;
/** Bytes that came within this time show that an answer is on its way. */
const RECEIVING_MS = 500;
/** Time for events that are on their way when a probe is answered. */
const EVENTS_ON_THE_WAY_MS = 200;

/** What the controller is built from. */
export interface StoreFollowerParts {
  readonly store: KeyValueClient;
  readonly followed: readonly FollowedPrefix[];
  readonly timer: TimerService;
  readonly log: Logger;
}

/**
 * Follows all that the daemon needs of the store by one watch over all keys.
 * A watch may go silent without a sign, so cheap reads of the store's revision
 * tell whether it missed something.
 */
export class StoreFollowerController extends Controller {
  override readonly name = "store-follower";
  readonly #parts: StoreFollowerParts;
  #watch: Watch | undefined;
  /** The revision up to which the watch has delivered. */
  #revision = 0;
  #heardAtMs = -Infinity;
  #isProbing = false;
  #probedAtMs = -Infinity;
  #reopened = 0;
  #cancelProbes: CancelTimer = () => {};
  #cancelCheck: CancelTimer = () => {};

  constructor(parts: StoreFollowerParts) {
    super();
    this.#parts = parts;
  }

  override start(): Promise<void> {
    const { store, timer } = this.#parts;
    this.#watch = store.watch({
      selection: { prefix: "" },
      maxBackoffMs: MAX_BACKOFF_MS,
      pace: PACE,
      onBatch: (batch) => this.#takeBatch(batch),
    });
    this.#cancelProbes = timer.every(
      PROBE_PERIOD_MS,
      () => void this.#probe(true),
    );
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancelProbes();
    this.#cancelCheck();
    this.#watch?.close();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    return { revision: this.#revision, reopened: this.#reopened };
  }

  #takeBatch(batch: WatchBatch): void {
    this.#revision = batch.revision;
    this.#heardAtMs = this.#parts.timer.nowMs();
    for (const followed of this.#parts.followed) followed.takeBatch(batch);
  }

  /** A probe whose connection went silent is repeated at once, on another. */
  async #probe(mayRepeat: boolean): Promise<void> {
    const { store, timer } = this.#parts;
    const heardAgoMs = timer.nowMs() - this.#heardAtMs;
    if (heardAgoMs < PROBE_PERIOD_MS || this.#isProbing) return;
    this.#isProbing = true;
    const revision = await store.readRevision(PROBE_TIMEOUT_MS);
    this.#isProbing = false;
    if (revision.isErr()) {
      const isLost = revision.error.kind === "answer-lost";
      if (isLost && mayRepeat) await this.#probe(false);
      return;
    }
    this.#probedAtMs = timer.nowMs();
    if (revision.value <= this.#revision) return;
    this.#cancelCheck();
    this.#cancelCheck = timer.after(
      EVENTS_ON_THE_WAY_MS,
      () => this.#reopenIfBehind(revision.value),
    );
  }

  /** A large answer that is still coming must not be cut. */
  #reopenIfBehind(storeRevision: number): void {
    if (storeRevision <= this.#revision) return;
    const { store, timer } = this.#parts;
    const isReceiving = timer.nowMs() - store.receivedAtMs < RECEIVING_MS &&
      store.receivedAtMs > this.#probedAtMs;
    if (isReceiving) return;
    this.#reopened += 1;
    this.#parts.log.event("watchReopened", {
      revision: this.#revision,
      storeRevision,
    });
    this.#watch?.reopen();
  }
}
