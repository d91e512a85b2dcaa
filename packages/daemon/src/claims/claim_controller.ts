import {
  type CallResult,
  type CancelTimer,
  type ClaimAction,
  type ClaimEvent,
  type ClaimLocation,
  type ClaimResult,
  type ClaimSettings,
  ClaimStateMachine,
  type ClaimTransaction,
  type TimerService,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { ClaimLeases } from "./claim_leases.ts";
import { ClaimStore } from "./claim_store.ts";

/** Maximum time that `stop` waits for results to be recorded. */
const MAX_STOP_WAIT_MS = 3_000;
const STOP_POLL_INTERVAL_MS = 20;

export interface ClaimControllerDependencies {
  readonly vm: string;
  /** Unique for each start of the daemon. */
  readonly incarnation: string;
  readonly keyValue: KeyValueClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: ClaimSettings;
}

/** A call for which a claim is requested. */
export interface ClaimRequest {
  readonly callId: string;
  readonly location: ClaimLocation;
  readonly bodyDigest: string;
  readonly deadlineAtMs: number;
}

/** Whether a claimed call may be sent, or the result for its client. */
export type ClaimDecision =
  | { readonly kind: "dispatch" }
  | { readonly kind: "answer"; readonly result: ClaimResult };

/**
 * Drives the claim state machine: passes the time and the platform's responses
 * to the state machine and executes the writes that it returns. The controller
 * reads and writes no field of the blackboard.
 */
export class ClaimController extends Controller {
  override readonly name = "claims";
  readonly #dependencies: ClaimControllerDependencies;
  readonly #stateMachine: ClaimStateMachine;
  readonly #store: ClaimStore;
  readonly #pendingDecisions = new Map<
    string,
    (decision: ClaimDecision) => void
  >();
  readonly #pendingRecords = new Map<string, () => void>();
  #cancelTimer: CancelTimer | undefined;
  #timerDueAtMs = Infinity;

  constructor(dependencies: ClaimControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#stateMachine = new ClaimStateMachine(
      dependencies.vm,
      dependencies.incarnation,
      dependencies.settings,
    );
    const leases = new ClaimLeases(dependencies.keyValue, dependencies.timer);
    this.#store = new ClaimStore(dependencies.keyValue, leases);
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  /** Waits until the results of the last calls are recorded. */
  override async stop(): Promise<void> {
    const { timer } = this.#dependencies;
    const deadlineAtMs = timer.nowMs() + MAX_STOP_WAIT_MS;
    while (
      this.#stateMachine.counts().entries > 0 && timer.nowMs() < deadlineAtMs
    ) {
      await new Promise<void>((resolve) =>
        timer.after(STOP_POLL_INTERVAL_MS, resolve)
      );
    }
    this.#cancelTimer?.();
  }

  override dumpState(): unknown {
    return this.#stateMachine.counts();
  }

  /** Claims the key of a call; resolves with whether the call may be sent. */
  claim(request: ClaimRequest): Promise<ClaimDecision> {
    this.#dependencies.metrics.count("claims_total");
    return new Promise((resolve) => {
      this.#pendingDecisions.set(request.callId, resolve);
      this.#handle({
        kind: "begin",
        nowMs: this.#dependencies.timer.nowMs(),
        callId: request.callId,
        location: request.location,
        bodyDigest: request.bodyDigest,
        claimedAtMs: Math.round(this.#dependencies.timer.wallClockMs()),
        deadlineMs: request.deadlineAtMs,
      });
    });
  }

  /** Whether the claimed call may be sent now. */
  mayDispatch(callId: string): boolean {
    return this.#stateMachine.mayDispatch(
      callId,
      this.#dependencies.timer.nowMs(),
    );
  }

  /** Records the result of a call; resolves once it is recorded or the claim is lost. */
  finish(callId: string, result: CallResult): Promise<void> {
    return new Promise((resolve) => {
      this.#pendingRecords.set(callId, resolve);
      const nowMs = this.#dependencies.timer.nowMs();
      this.#handle({ kind: "finish", nowMs, callId, result });
    });
  }

  #handle(event: ClaimEvent): void {
    for (const action of this.#stateMachine.handle(event)) {
      this.#applyAction(action);
    }
    this.#schedule();
  }

  #applyAction(action: ClaimAction): void {
    if (action.kind === "write") {
      void this.#write(action.transaction);
      return;
    }
    if (action.kind === "dispatch") {
      return this.#resolveDecision(action.callId, { kind: "dispatch" });
    }
    if (action.kind === "answer") {
      const { callId, result } = action;
      this.#dependencies.metrics.count(
        `claim_${result.kind.replaceAll("-", "_")}_total`,
      );
      return this.#resolveDecision(callId, { kind: "answer", result });
    }
    if (action.kind === "claim-lost") {
      this.#dependencies.logger.event("claimLost", { callId: action.callId });
    }
    this.#pendingRecords.get(action.callId)?.();
    this.#pendingRecords.delete(action.callId);
  }

  #resolveDecision(callId: string, decision: ClaimDecision): void {
    this.#pendingDecisions.get(callId)?.(decision);
    this.#pendingDecisions.delete(callId);
  }

  async #write(transaction: ClaimTransaction): Promise<void> {
    const { metrics, logger, timer } = this.#dependencies;
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
    const dueAtMs = this.#stateMachine.nextDueMs() ?? Infinity;
    if (dueAtMs >= this.#timerDueAtMs) return;
    this.#cancelTimer?.();
    this.#timerDueAtMs = dueAtMs;
    const { timer } = this.#dependencies;
    this.#cancelTimer = timer.after(
      Math.max(0, dueAtMs - timer.nowMs()),
      () => {
        this.#timerDueAtMs = Infinity;
        this.#handle({ kind: "tick", nowMs: timer.nowMs() });
      },
    );
  }
}
