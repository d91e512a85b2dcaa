import {
  type CallResult,
  type CancelTimer,
  type ClaimAction,
  ClaimBook,
  type ClaimBookSettings,
  type ClaimEvent,
  type ClaimPlace,
  type ClaimResult,
  type ClaimTransaction,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { ClaimLeases } from "./claim_leases.ts";
import { ClaimStore } from "./claim_store.ts";

/** Longest time that `stop` waits for results to be recorded. */
const STOP_LIMIT_MS = 3_000;
const STOP_POLL_MS = 20;

/** Parts of the daemon that the controller uses. */
export interface ClaimControllerParts {
  readonly vm: string;
  /** Differs for every start of the daemon. */
  readonly incarnation: string;
  readonly keyValue: KeyValueClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: ClaimBookSettings;
}

/** A call that is to be claimed. */
export interface ClaimRequest {
  readonly callId: string;
  readonly place: ClaimPlace;
  readonly bodyDigest: string;
  readonly deadlineAtMs: number;
}

/** Whether a claimed call may be sent, or what its caller is told instead. */
export type ClaimDecision =
  | { readonly kind: "dispatch" }
  | { readonly kind: "answer"; readonly verdict: ClaimResult };

/**
 * Drives the claim book: gives it the time and the platform's answers, and
 * writes what it asks for. It reads and writes no field of the blackboard.
 */
export class ClaimController extends Controller {
  override readonly name = "claims";
  readonly #parts: ClaimControllerParts;
  readonly #book: ClaimBook;
  readonly #store: ClaimStore;
  readonly #deciding = new Map<string, (decision: ClaimDecision) => void>();
  readonly #recording = new Map<string, () => void>();
  #cancelTimer: CancelTimer | undefined;
  #timerDueMs = Infinity;

  constructor(parts: ClaimControllerParts) {
    super();
    this.#parts = parts;
    this.#book = new ClaimBook(parts.vm, parts.incarnation, parts.settings);
    const leases = new ClaimLeases(parts.keyValue, parts.timer);
    this.#store = new ClaimStore(parts.keyValue, leases);
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  /** Lets the results of the last calls be recorded first. */
  override async stop(): Promise<void> {
    const { timer } = this.#parts;
    const endMs = timer.nowMs() + STOP_LIMIT_MS;
    while (this.#book.counts().entries > 0 && timer.nowMs() < endMs) {
      await new Promise<void>((resolve) => timer.after(STOP_POLL_MS, resolve));
    }
    this.#cancelTimer?.();
  }

  override dumpState(): unknown {
    return this.#book.counts();
  }

  /** Claims the key of a call; resolves once it is known who may run it. */
  claim(request: ClaimRequest): Promise<ClaimDecision> {
    this.#parts.metrics.count("claims_total");
    return new Promise((resolve) => {
      this.#deciding.set(request.callId, resolve);
      this.#handle({
        kind: "begin",
        nowMs: this.#parts.timer.nowMs(),
        callId: request.callId,
        place: request.place,
        bodyDigest: request.bodyDigest,
        claimedAtMs: Math.round(this.#parts.timer.wallClockMs()),
        deadlineMs: request.deadlineAtMs,
      });
    });
  }

  /** Whether the claimed call may be sent at this very moment. */
  mayDispatch(callId: string): boolean {
    return this.#book.mayDispatch(callId, this.#parts.timer.nowMs());
  }

  /** Records what became of a call; resolves once the platform has it. */
  finish(callId: string, result: CallResult): Promise<void> {
    return new Promise((resolve) => {
      this.#recording.set(callId, resolve);
      const nowMs = this.#parts.timer.nowMs();
      this.#handle({ kind: "finish", nowMs, callId, result });
    });
  }

  #handle(event: ClaimEvent): void {
    for (const action of this.#book.handle(event)) this.#act(action);
    this.#schedule();
  }

  #act(action: ClaimAction): void {
    if (action.kind === "write") {
      void this.#write(action.transaction);
      return;
    }
    if (action.kind === "dispatch") {
      return this.#decide(action.callId, { kind: "dispatch" });
    }
    if (action.kind === "answer") {
      const { callId, verdict } = action;
      this.#parts.metrics.count(
        `claim_${verdict.kind.replaceAll("-", "_")}_total`,
      );
      return this.#decide(callId, { kind: "answer", verdict });
    }
    if (action.kind === "claim-lost") {
      this.#parts.logger.event("claimLost", { callId: action.callId });
    }
    this.#recording.get(action.callId)?.();
    this.#recording.delete(action.callId);
  }

  #decide(callId: string, decision: ClaimDecision): void {
    this.#deciding.get(callId)?.(decision);
    this.#deciding.delete(callId);
  }

  async #write(transaction: ClaimTransaction): Promise<void> {
    const { metrics, logger, timer } = this.#parts;
    metrics.count("claim_transactions_total");
    metrics.count("claim_writes_total", transaction.writes.length);
    const event = await this.#store.write(transaction);
    if (event.kind === "failed") {
      const { maybeApplied } = event;
      logger.event("claimWriteFailed", { maybeApplied });
    }
    this.#handle({ ...event, nowMs: timer.nowMs() });
  }

  #schedule(): void {
    const dueMs = this.#book.nextDueMs() ?? Infinity;
    if (dueMs >= this.#timerDueMs) return;
    this.#cancelTimer?.();
    this.#timerDueMs = dueMs;
    const { timer } = this.#parts;
    this.#cancelTimer = timer.after(Math.max(0, dueMs - timer.nowMs()), () => {
      this.#timerDueMs = Infinity;
      this.#handle({ kind: "tick", nowMs: timer.nowMs() });
    });
  }
}
