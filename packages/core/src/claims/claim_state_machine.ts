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

/** Limits of the claim state machine. */
export interface ClaimSettings extends ClaimBatchSettings {
  /** How long a call waits for its claim before it is rejected. */
  readonly claimTimeoutMs: number;
  /** Maximum number of calls that wait for their claim at the same time. */
  readonly maxPendingClaims: number;
}

/**
 * Default settings, sized for several hundred writes per second with 6 daemons.
 */
export const DEFAULT_CLAIM_SETTINGS: ClaimSettings = {
  batchWindowMs: 20,
  resultDelayMs: 50,
  maxBatchOperations: 128,
  maxBatchResponseBytes: 512 * 1024,
  maxTransactionsInFlight: 4,
  minBackoffMs: 50,
  maxBackoffMs: 1_000,
  claimTimeoutMs: 2_000,
  maxPendingClaims: 4_096,
};

type EventOf<Kind extends ClaimEvent["kind"]> = Extract<
  ClaimEvent,
  { readonly kind: Kind }
>;

/**
 * State machine that executes non-idempotent calls with an idempotency key at
 * most once.
 *
 * The guarantee rests on a compare-and-swap of one platform key per idempotency
 * key, and on the nonce of the claim, which is unique to this incarnation of
 * the daemon. A call is dispatched only after its own claim was read back or
 * committed. A claim is never taken from the daemon that holds it, even when
 * that daemon died or is paused or when the deadline of the call has passed.
 *
 * The class maps events to actions. It uses no clock, socket or random source,
 * so the same events always produce the same actions.
 */
export class ClaimStateMachine {
  readonly #settings: ClaimSettings;
  readonly #noncePrefix: string;
  readonly #queue: ClaimQueue;
  readonly #byCall = new Map<string, ClaimEntry>();
  readonly #byKey = new Map<string, ClaimEntry>();
  /** Entries whose client waits for the claim. */
  readonly #pending = new Set<ClaimEntry>();
  readonly #inFlight = new Map<number, readonly ClaimEntry[]>();
  #lastTransactionId = 0;
  #lastNonce = 0;
  #actions: ClaimAction[] = [];

  /** `incarnation` must be unique for every start of the daemon on `vm`. */
  constructor(vm: string, incarnation: string, settings: ClaimSettings) {
    this.#noncePrefix = `${vm}:${incarnation}`;
    this.#settings = settings;
    this.#queue = new ClaimQueue(settings);
  }

  /** Handles one event and returns the resulting actions in order. */
  handle(event: ClaimEvent): ClaimAction[] {
    if (event.kind === "begin") this.#begin(event);
    if (event.kind === "finish") this.#finish(event);
    if (event.kind === "committed") this.#onCommitted(event);
    if (event.kind === "conflicted") this.#onConflicted(event);
    if (event.kind === "failed") this.#onFailed(event);
    this.#expire(event.nowMs);
    this.#send(event.nowMs);
    const actions = this.#actions;
    this.#actions = [];
    return actions;
  }

  /**
   * Whether a call may be sent now. Check this right before sending the first
   * byte, because the process may have been paused after the claim.
   */
  mayDispatch(callId: string, nowMs: number): boolean {
    const entry = this.#byCall.get(callId);
    return entry?.phase === "owned" && nowMs < entry.deadlineMs;
  }

  /** Monotonic time at which the next `tick` is needed, or undefined. */
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

  /** Counters for the dump of the daemon's state. */
  counts(): { entries: number; queued: number; inFlightTransactions: number } {
    return {
      entries: this.#byKey.size,
      queued: this.#queue.size,
      inFlightTransactions: this.#inFlight.size,
    };
  }

  #begin(event: EventOf<"begin">): void {
    const { callId, nowMs } = event;
    const existing = this.#byKey.get(event.location.claimKey);
    if (existing) return this.#onDuplicate(callId, existing, event.bodyDigest);
    if (nowMs >= event.deadlineMs) {
      return this.#respond(callId, { kind: "deadline-passed" });
    }
    if (this.#queue.size >= this.#settings.maxPendingClaims) {
      return this.#respond(callId, { kind: "overloaded" });
    }
    this.#lastNonce += 1;
    const entry: ClaimEntry = {
      callId,
      location: event.location,
      beganAtMs: nowMs,
      deadlineMs: event.deadlineMs,
      phase: "claiming",
      record: {
        state: "claimed",
        nonce: `${this.#noncePrefix}:${this.#lastNonce}`,
        bodyDigest: event.bodyDigest,
        claimedAtMs: event.claimedAtMs,
      },
      response: undefined,
      expectation: { kind: "absent" },
      mayBeWritten: false,
      wasOwned: false,
      hasResponse: false,
      isRetryAfterConflict: false,
      queuedAtMs: nowMs,
    };
    this.#pending.add(entry);
    this.#byCall.set(callId, entry);
    this.#byKey.set(entry.location.claimKey, entry);
    this.#queue.add(entry, nowMs);
  }

  /** Responds to a call whose key already has an entry in this daemon. */
  #onDuplicate(
    callId: string,
    existing: ClaimEntry,
    bodyDigest: string,
  ): void {
    if (existing.record.bodyDigest !== bodyDigest) {
      return this.#respond(callId, { kind: "key-reused" });
    }
    if (existing.phase === "closing" && existing.record.state === "done") {
      const { response, record } = existing;
      return this.#respond(
        callId,
        response
          ? { kind: "replay", response }
          : { kind: "done", summary: record.answer },
      );
    }
    if (existing.record.state === "unknown") {
      return this.#respond(callId, { kind: "unknown" });
    }
    if (existing.phase === "closing" || existing.hasResponse) {
      return this.#respond(callId, {
        kind: "platform-unavailable",
        keyHeld: true,
      });
    }
    this.#respond(callId, { kind: "in-progress" });
  }

  #finish(event: EventOf<"finish">): void {
    const entry = this.#byCall.get(event.callId);
    if (entry?.phase !== "owned") return;
    this.#close(entry, event.result, event.nowMs);
  }

  #close(entry: ClaimEntry, result: CallResult, nowMs: number): void {
    this.#pending.delete(entry);
    entry.phase = "closing";
    entry.hasResponse = true;
    entry.record = {
      ...entry.record,
      state: result.kind,
      ...(result.kind === "done" ? { answer: result.summary } : {}),
    };
    entry.response = result.kind === "done" ? result.response : undefined;
    this.#queue.add(entry, nowMs);
  }

  #onCommitted(event: EventOf<"committed">): void {
    this.#queue.onResponse();
    for (const entry of this.#removeInFlight(event.transactionId)) {
      this.#onWriteInPlace(entry, event.revision, event.nowMs);
    }
  }

  #onConflicted(event: EventOf<"conflicted">): void {
    this.#queue.onResponse();
    const foundByKey = new Map<string, FoundClaim>(
      event.found.map((found) => [found.claimKey, found]),
    );
    for (const entry of this.#removeInFlight(event.transactionId)) {
      const found = foundByKey.get(entry.location.claimKey);
      this.#onFoundClaim(entry, found, event.nowMs);
    }
  }

  #onFoundClaim(
    entry: ClaimEntry,
    found: FoundClaim | undefined,
    nowMs: number,
  ): void {
    const resolution = resolveClaim(entry, found);
    if (resolution.kind === "in-place") {
      return this.#onWriteInPlace(entry, resolution.modRevision, nowMs);
    }
    if (resolution.kind === "retry") {
      entry.expectation = resolution.expectation;
      entry.isRetryAfterConflict = true;
      return this.#requeue(entry, nowMs);
    }
    this.#removeEntry(entry);
    if (resolution.kind === "lost" && entry.wasOwned) {
      this.#actions.push({ kind: "claim-lost", callId: entry.callId });
      return;
    }
    if (resolution.kind !== "taken" || entry.hasResponse) return;
    this.#respond(entry.callId, resolution.result);
  }

  #onFailed(event: EventOf<"failed">): void {
    const entries = this.#removeInFlight(event.transactionId);
    if (entries.length > 0) this.#queue.onFailure(event.nowMs);
    for (const entry of entries) {
      if (event.maybeApplied) entry.mayBeWritten = true;
      this.#requeue(entry, event.nowMs);
    }
  }

  /** Queues an entry again, unless the entry has nothing left to write. */
  #requeue(entry: ClaimEntry, nowMs: number): void {
    const isAbandoned = entry.phase === "claiming" && entry.hasResponse;
    if (!isAbandoned) return this.#queue.add(entry, nowMs);
    if (!entry.mayBeWritten) return this.#removeEntry(entry);
    this.#release(entry, nowMs);
  }

  /** Handles the confirmation that the record of the entry was written. */
  #onWriteInPlace(entry: ClaimEntry, modRevision: number, nowMs: number): void {
    entry.expectation = { kind: "revision", modRevision };
    entry.isRetryAfterConflict = false;
    if (entry.phase === "closing") {
      this.#removeEntry(entry);
      this.#actions.push({ kind: "recorded", callId: entry.callId });
      return;
    }
    if (entry.hasResponse) return this.#release(entry, nowMs);
    if (nowMs < entry.deadlineMs) {
      entry.phase = "owned";
      entry.wasOwned = true;
      this.#pending.delete(entry);
      this.#actions.push({ kind: "dispatch", callId: entry.callId });
      return;
    }
    this.#respond(entry.callId, { kind: "deadline-passed" });
    this.#release(entry, nowMs);
  }

  /**
   * Records that the call was not executed. Where it is uncertain whether the
   * claim was written, this write also invalidates a delayed write of the
   * claim, because the condition of that write can then no longer hold.
   */
  #release(entry: ClaimEntry, nowMs: number): void {
    this.#close(entry, { kind: "not-run" }, nowMs);
  }

  /** Rejects calls whose claim was not confirmed in time. */
  #expire(nowMs: number): void {
    for (const entry of this.#pending) {
      if (nowMs < this.#expiryMs(entry)) continue;
      this.#abandon(entry, nowMs);
    }
  }

  #abandon(entry: ClaimEntry, nowMs: number): void {
    const isQueued = this.#queue.has(entry);
    const keyHeld = entry.mayBeWritten || !isQueued;
    entry.hasResponse = true;
    this.#pending.delete(entry);
    this.#respond(entry.callId, { kind: "platform-unavailable", keyHeld });
    // An entry in flight is settled by the response to its transaction.
    if (!isQueued) return;
    this.#queue.remove(entry);
    this.#requeue(entry, nowMs);
  }

  #expiryMs(entry: ClaimEntry): number {
    return Math.min(
      entry.deadlineMs,
      entry.beganAtMs + this.#settings.claimTimeoutMs,
    );
  }

  #send(nowMs: number): void {
    if (this.#inFlight.size >= this.#settings.maxTransactionsInFlight) return;
    const entries = this.#queue.dequeueBatch(nowMs);
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

  #removeInFlight(transactionId: number): readonly ClaimEntry[] {
    const entries = this.#inFlight.get(transactionId) ?? [];
    this.#inFlight.delete(transactionId);
    return entries;
  }

  #removeEntry(entry: ClaimEntry): void {
    this.#pending.delete(entry);
    this.#byCall.delete(entry.callId);
    this.#byKey.delete(entry.location.claimKey);
  }

  #respond(callId: string, result: ClaimResult): void {
    this.#actions.push({ kind: "answer", callId, result });
  }
}
