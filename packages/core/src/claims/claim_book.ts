import type { ClaimEntry } from "./claim_entry.ts";
import { createWrite } from "./claim_entry.ts";
import type {
  CallResult,
  ClaimAction,
  ClaimEvent,
  ClaimResult,
  FoundClaim,
} from "./claim_events.ts";
import { type ClaimBatchSettings, ClaimQueue } from "./claim_queue.ts";
import { resolveClaim } from "./claim_resolution.ts";

/** The limits of a `ClaimBook`. */
export interface ClaimBookSettings extends ClaimBatchSettings {
  /** How long a call waits for its claim before it is refused. */
  readonly claimPatienceMs: number;
  /** Most calls that wait for their claim at a time. */
  readonly maxPendingClaims: number;
}

/** Settings that fit several hundred writes a second for 6 daemons. */
export const DEFAULT_CLAIM_BOOK_SETTINGS: ClaimBookSettings = {
  batchWindowMs: 20,
  closeDelayMs: 50,
  maxBatchOperations: 128,
  maxBatchAnswerBytes: 512 * 1024,
  maxTransactionsInFlight: 4,
  minBackoffMs: 50,
  maxBackoffMs: 1_000,
  claimPatienceMs: 2_000,
  maxPendingClaims: 4_096,
};

type EventOf<Kind extends ClaimEvent["kind"]> = Extract<
  ClaimEvent,
  { readonly kind: Kind }
>;

/**
 * Lets non-idempotent calls with an idempotency key run at most once.
 *
 * The promise rests on compare-and-swap of one platform key for each
 * idempotency key, and on the nonce of the claim, which only this incarnation
 * of this daemon uses. A call is let through only after its own claim was seen
 * in place. A claim is never taken from a daemon that holds it: not when it
 * died, not when it is paused, not when its deadline is over.
 *
 * Events go in, actions come out; there is no clock, no socket and no chance
 * inside, so that the same events replay to the same actions.
 */
export class ClaimBook {
  readonly #settings: ClaimBookSettings;
  readonly #noncePrefix: string;
  readonly #queue: ClaimQueue;
  readonly #byCall = new Map<string, ClaimEntry>();
  readonly #byKey = new Map<string, ClaimEntry>();
  /** Entries whose caller waits for the claim. */
  readonly #pending = new Set<ClaimEntry>();
  readonly #inFlight = new Map<number, readonly ClaimEntry[]>();
  #lastTransactionId = 0;
  #lastNonce = 0;
  #actions: ClaimAction[] = [];

  /** `incarnation` must differ for every start of the daemon on `vm`. */
  constructor(vm: string, incarnation: string, settings: ClaimBookSettings) {
    this.#noncePrefix = `${vm}:${incarnation}`;
    this.#settings = settings;
    this.#queue = new ClaimQueue(settings);
  }

  /** Takes one event in and returns what is to be done now, in order. */
  handle(event: ClaimEvent): ClaimAction[] {
    if (event.kind === "begin") this.#begin(event);
    if (event.kind === "finish") this.#finish(event);
    if (event.kind === "committed") this.#noteCommitted(event);
    if (event.kind === "conflicted") this.#noteConflicted(event);
    if (event.kind === "failed") this.#noteFailed(event);
    this.#expire(event.nowMs);
    this.#send(event.nowMs);
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  /**
   * Whether a call may be sent at this moment. It is to be asked right before
   * the first byte, since the process may have been paused after the claim.
   */
  mayDispatch(callId: string, nowMs: number): boolean {
    const entry = this.#byCall.get(callId);
    return entry?.phase === "owned" && nowMs < entry.deadlineMs;
  }

  /** Monotonic time of the next needed `tick`, or undefined. */
  nextDueMs(): number | undefined {
    const canSend =
      this.#inFlight.size < this.#settings.maxTransactionsInFlight;
    let dueMs = canSend ? this.#queue.dueMs() : undefined;
    for (const entry of this.#pending) {
      const expiryMs = this.#expiryMs(entry);
      if (dueMs === undefined || expiryMs < dueMs) dueMs = expiryMs;
    }
    return dueMs;
  }

  /** Counts for the dump of the daemon's state. */
  counts(): { entries: number; queued: number; inFlightTransactions: number } {
    return {
      entries: this.#byKey.size,
      queued: this.#queue.size,
      inFlightTransactions: this.#inFlight.size,
    };
  }

  #begin(event: EventOf<"begin">): void {
    const { callId, nowMs } = event;
    const present = this.#byKey.get(event.place.claimKey);
    if (present) return this.#answerBeside(callId, present, event.bodyDigest);
    if (nowMs >= event.deadlineMs) {
      return this.#answer(callId, { kind: "deadline-passed" });
    }
    if (this.#queue.size >= this.#settings.maxPendingClaims) {
      return this.#answer(callId, { kind: "overloaded" });
    }
    this.#lastNonce += 1;
    const entry: ClaimEntry = {
      callId,
      place: event.place,
      beganAtMs: nowMs,
      deadlineMs: event.deadlineMs,
      phase: "claiming",
      record: {
        state: "claimed",
        nonce: `${this.#noncePrefix}:${this.#lastNonce}`,
        bodyDigest: event.bodyDigest,
        claimedAtMs: event.claimedAtMs,
      },
      answer: undefined,
      expectation: { kind: "absent" },
      maybeWritten: false,
      wasOwned: false,
      answered: false,
      retriedAfterConflict: false,
      queuedAtMs: nowMs,
    };
    this.#pending.add(entry);
    this.#byCall.set(callId, entry);
    this.#byKey.set(entry.place.claimKey, entry);
    this.#queue.add(entry, nowMs);
  }

  /** Answers a call whose key this daemon is already looking after. */
  #answerBeside(
    callId: string,
    present: ClaimEntry,
    bodyDigest: string,
  ): void {
    if (present.record.bodyDigest !== bodyDigest) {
      return this.#answer(callId, { kind: "key-reused" });
    }
    if (present.phase === "closing" && present.record.state === "done") {
      const { answer, record } = present;
      return this.#answer(
        callId,
        answer
          ? { kind: "replay", answer }
          : { kind: "done", summary: record.answer },
      );
    }
    if (present.record.state === "unknown") {
      return this.#answer(callId, { kind: "unknown" });
    }
    if (present.phase === "closing" || present.answered) {
      return this.#answer(callId, {
        kind: "platform-unavailable",
        keyHeld: true,
      });
    }
    this.#answer(callId, { kind: "in-progress" });
  }

  #finish(event: EventOf<"finish">): void {
    const entry = this.#byCall.get(event.callId);
    if (entry?.phase !== "owned") return;
    this.#close(entry, event.result, event.nowMs);
  }

  #close(entry: ClaimEntry, result: CallResult, nowMs: number): void {
    this.#pending.delete(entry);
    entry.phase = "closing";
    entry.answered = true;
    entry.record = {
      ...entry.record,
      state: result.kind,
      ...(result.kind === "done" ? { answer: result.summary } : {}),
    };
    entry.answer = result.kind === "done" ? result.answer : undefined;
    this.#queue.add(entry, nowMs);
  }

  #noteCommitted(event: EventOf<"committed">): void {
    this.#queue.noteAnswer();
    for (const entry of this.#takeInFlight(event.transactionId)) {
      this.#noteInPlace(entry, event.revision, event.nowMs);
    }
  }

  #noteConflicted(event: EventOf<"conflicted">): void {
    this.#queue.noteAnswer();
    const foundByKey = new Map<string, FoundClaim>(
      event.found.map((found) => [found.claimKey, found]),
    );
    for (const entry of this.#takeInFlight(event.transactionId)) {
      const found = foundByKey.get(entry.place.claimKey);
      this.#noteFound(entry, found, event.nowMs);
    }
  }

  #noteFound(
    entry: ClaimEntry,
    found: FoundClaim | undefined,
    nowMs: number,
  ): void {
    const resolution = resolveClaim(entry, found);
    if (resolution.kind === "in-place") {
      return this.#noteInPlace(entry, resolution.modRevision, nowMs);
    }
    if (resolution.kind === "retry") {
      entry.expectation = resolution.expectation;
      entry.retriedAfterConflict = true;
      return this.#requeue(entry, nowMs);
    }
    this.#drop(entry);
    if (resolution.kind === "lost" && entry.wasOwned) {
      this.#actions.push({ kind: "claim-lost", callId: entry.callId });
      return;
    }
    if (resolution.kind !== "taken" || entry.answered) return;
    this.#answer(entry.callId, resolution.verdict);
  }

  #noteFailed(event: EventOf<"failed">): void {
    const entries = this.#takeInFlight(event.transactionId);
    if (entries.length > 0) this.#queue.noteFailure(event.nowMs);
    for (const entry of entries) {
      if (event.maybeApplied) entry.maybeWritten = true;
      this.#requeue(entry, event.nowMs);
    }
  }

  /** Puts an entry back in line, unless nothing of it is left to settle. */
  #requeue(entry: ClaimEntry, nowMs: number): void {
    const abandoned = entry.phase === "claiming" && entry.answered;
    if (!abandoned) return this.#queue.add(entry, nowMs);
    if (!entry.maybeWritten) return this.#drop(entry);
    this.#release(entry, nowMs);
  }

  /** The record that the entry wanted to write is seen in place. */
  #noteInPlace(entry: ClaimEntry, modRevision: number, nowMs: number): void {
    entry.expectation = { kind: "revision", modRevision };
    entry.retriedAfterConflict = false;
    if (entry.phase === "closing") {
      this.#drop(entry);
      this.#actions.push({ kind: "recorded", callId: entry.callId });
      return;
    }
    if (entry.answered) return this.#release(entry, nowMs);
    if (nowMs < entry.deadlineMs) {
      entry.phase = "owned";
      entry.wasOwned = true;
      this.#pending.delete(entry);
      this.#actions.push({ kind: "dispatch", callId: entry.callId });
      return;
    }
    this.#answer(entry.callId, { kind: "deadline-passed" });
    this.#release(entry, nowMs);
  }

  /**
   * Writes that the call was not run. With a claim in doubt this also stops a
   * delayed write of it, whose condition can then no longer hold.
   */
  #release(entry: ClaimEntry, nowMs: number): void {
    this.#close(entry, { kind: "not-run" }, nowMs);
  }

  /** Refuses calls whose claim did not come in time. */
  #expire(nowMs: number): void {
    for (const entry of this.#pending) {
      if (nowMs < this.#expiryMs(entry)) continue;
      this.#abandon(entry, nowMs);
    }
  }

  #abandon(entry: ClaimEntry, nowMs: number): void {
    const waiting = this.#queue.has(entry);
    const keyHeld = entry.maybeWritten || !waiting;
    entry.answered = true;
    this.#pending.delete(entry);
    this.#answer(entry.callId, { kind: "platform-unavailable", keyHeld });
    // An entry in flight is settled when its transaction is answered.
    if (!waiting) return;
    this.#queue.remove(entry);
    this.#requeue(entry, nowMs);
  }

  #expiryMs(entry: ClaimEntry): number {
    return Math.min(
      entry.deadlineMs,
      entry.beganAtMs + this.#settings.claimPatienceMs,
    );
  }

  #send(nowMs: number): void {
    if (this.#inFlight.size >= this.#settings.maxTransactionsInFlight) return;
    const entries = this.#queue.take(nowMs);
    if (entries.length === 0) return;
    this.#lastTransactionId += 1;
    const transactionId = this.#lastTransactionId;
    this.#inFlight.set(transactionId, entries);
    const writes = entries.map(createWrite);
    this.#actions.push({
      kind: "write",
      transaction: { transactionId, writes },
    });
  }

  #takeInFlight(transactionId: number): readonly ClaimEntry[] {
    const entries = this.#inFlight.get(transactionId) ?? [];
    this.#inFlight.delete(transactionId);
    return entries;
  }

  #drop(entry: ClaimEntry): void {
    this.#pending.delete(entry);
    this.#byCall.delete(entry.callId);
    this.#byKey.delete(entry.place.claimKey);
  }

  #answer(callId: string, verdict: ClaimResult): void {
    this.#actions.push({ kind: "answer", callId, verdict });
  }
}
