import {
  isAcceptedWhileDraining,
  jitteredStayAwayMs,
  parseRetryAfterMs,
  type TimerService,
} from "@coltsfootford/core";
import type { Dispatcher } from "undici";
import { err, ok, type Result } from "neverthrow";
import type { AdmissionTicket } from "../admission/index.ts";
import type { Blackboard, TargetView } from "../blackboard/index.ts";
import { needsClaim } from "../claims/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  identifyRequest,
  type RequestIdentity,
  type TrackedRequest,
} from "../poison/index.ts";
import { REQUEST_ID_HEADER, type TargetClient } from "../targets/index.ts";
import {
  type AttemptResult,
  isForeignResponse,
  type ResponseRelay,
  usesNewConnection,
} from "./response_relay.ts";
import { AttemptHistory } from "./next_attempt.ts";
import type { PermitGate } from "./permit_gate.ts";
import { type SelectedTarget, TargetSelector } from "./target_selector.ts";
import { createRequestError, type RequestError } from "./request_error.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestGuards } from "./request_guards.ts";
import type { TargetOrder } from "./target_order.ts";

const RETRY_AFTER_MS = 1_000;
const STATUS_UNAVAILABLE = 503;
/** Names the incarnation of the target that sends it and is leaving. */
const TARGET_LEAVING_HEADER = "x-target-leaving";

/** The services and controllers that the dispatcher uses. */
export interface DispatcherDependencies {
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly targetClient: TargetClient;
  readonly permitGate: PermitGate;
  readonly placement: TargetOrder;
  readonly guards: RequestGuards;
  readonly leavingObserver: LeavingObserver;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time between the signal to shut down and the forced end. */
  readonly shutdownLimitMs: number;
  /** Returns numbers from 0 to 1. */
  readonly random: () => number;
}

/** Learns of targets that state in responses that they leave. */
export interface LeavingObserver {
  onLeaving(target: string, incarnation: string): void;
}

/** The result of an attempt, and whether the target crashed during it. */
interface EndedAttempt {
  readonly result: AttemptResult;
  readonly hasTargetCrashed: boolean;
}

/**
 * Dispatches a validated request: applies quarantine, admission and claims,
 * then sends it to targets until one attempt succeeds or no retry is left.
 */
export class RequestDispatcher {
  readonly #dependencies: DispatcherDependencies;
  readonly #targetSelector: TargetSelector;
  #drainingSinceMs: number | undefined;

  constructor(dependencies: DispatcherDependencies) {
    this.#dependencies = dependencies;
    this.#targetSelector = new TargetSelector({
      ...dependencies,
      poison: dependencies.guards.poison,
    });
    const { blackboard, timer } = dependencies;
    blackboard.lifecycle.subscribe((phase) => {
      if (phase === "draining") this.#drainingSinceMs = timer.nowMs();
    });
  }

  /**
   * Resolves once the response was relayed to the client, or with the error that
   * the client receives instead.
   */
  async dispatch(
    context: RequestContext,
    relay: ResponseRelay,
  ): Promise<Result<void, RequestError>> {
    const { admission, claims, poison } = this.#dependencies.guards;
    if (!this.#isAccepted(context)) {
      const message = "the daemon shuts down before the request could end";
      return err(createFinalError(false, message, RETRY_AFTER_MS));
    }
    const identity = identifyRequest(context);
    if (poison.getDecision(identity) === "quarantined") {
      return err(createQuarantineError(false));
    }
    const ticket = await admission.admit(context);
    if (ticket.isErr()) return err(ticket.error);
    const execute = () =>
      this.#runAttempts(context, relay, ticket.value, identity);
    try {
      if (!needsClaim(context)) return await execute();
      // Waiting for a claim is no sign that the pool lacks capacity.
      ticket.value.setBlocked(false);
      return await claims.execute(context, relay, execute);
    } finally {
      ticket.value.release();
    }
  }

  /** Whether the request can end before this daemon does. */
  #isAccepted({ deadlineAtMs }: RequestContext): boolean {
    const { timer, shutdownLimitMs } = this.#dependencies;
    if (this.#drainingSinceMs === undefined) return true;
    const nowMs = timer.nowMs();
    return isAcceptedWhileDraining(
      nowMs - this.#drainingSinceMs,
      deadlineAtMs - nowMs,
      shutdownLimitMs,
    );
  }

  async #runAttempts(
    context: RequestContext,
    relay: ResponseRelay,
    ticket: AdmissionTicket,
    identity: RequestIdentity,
  ): Promise<Result<void, RequestError>> {
    const { guards, timer } = this.#dependencies;
    const budget = guards.retries.forRoute(context.route);
    const history = new AttemptHistory();
    let message = "no target was free before the deadline";
    let retryAfterMs = RETRY_AFTER_MS;
    budget.recordFirstAttempt();
    for (;;) {
      const decision = guards.poison.getDecision(identity);
      if (decision === "quarantined") {
        return err(createQuarantineError(history.mayHaveExecuted));
      }
      const isSuspect = decision === "suspect";
      const attemptedTargets = history.targets;
      const selection = await this.#targetSelector.select({
        context,
        ticket,
        attemptedTargets,
        isSuspect,
      });
      if (selection.kind === "aborted") break;
      if (selection.kind === "away") {
        message = "all targets asked to be left alone for a time";
        retryAfterMs = selection.retryAfterMs;
        break;
      }
      const { target } = selection.selected;
      const { result, hasTargetCrashed } = await this.#attemptTarget(
        selection.selected,
        context,
        relay,
        identity,
      );
      if (result.kind === "answered") return ok(undefined);
      message = result.message;
      history.record(target.name, result);
      if (context.signal.aborted) break;
      const nowMs = timer.nowMs();
      const next = history.decide({
        result,
        context,
        relay,
        budget,
        nowMs,
        hasTargetCrashed,
      });
      if (next.kind === "stop") break;
      this.#dependencies.metrics.count("retries_total");
    }
    return err(
      createFinalError(history.mayHaveExecuted, message, retryAfterMs),
    );
  }

  async #attemptTarget(
    selected: SelectedTarget,
    context: RequestContext,
    relay: ResponseRelay,
    identity: RequestIdentity,
  ): Promise<EndedAttempt> {
    const { claims, poison } = this.#dependencies.guards;
    const { target, permit } = selected;
    const tokensBefore = relay.relayedTokens;
    const tracked = poison.trackRequest(target, {
      ...identity,
      requestId: context.requestId,
      isIsolated: selected.endIsolation !== undefined,
      receivedTokens: () => relay.relayedTokens - tokensBefore,
    });
    try {
      // No `await` between these checks and the send: the deadline, the claim or
      // the permit could expire in between.
      const mayStart = !context.signal.aborted &&
        claims.mayStart(context) && permit.start();
      if (!mayStart) {
        const message = "the right to start ended before the request was sent";
        const result: AttemptResult = { kind: "not-sent", message };
        return { result, hasTargetCrashed: false };
      }
      const result = await this.#send(target, context, relay);
      const hasTargetCrashed = await this.#recordAttemptEnd(
        tracked,
        result,
        context,
      );
      if (result.kind !== "answered" && !isOfSlowClient(result)) {
        this.#logFailure(selected, context, result);
      }
      return { result, hasTargetCrashed };
    } finally {
      tracked.end();
      selected.endIsolation?.();
      permit.release();
      this.#targetSelector.onPermitReleased();
    }
  }

  /**
   * Records the end of an attempt for the detection of requests that crash
   * targets. Resolves with whether the target is known to have crashed.
   */
  async #recordAttemptEnd(
    tracked: TrackedRequest,
    result: AttemptResult,
    context: RequestContext,
  ): Promise<boolean> {
    if (result.kind === "answered") tracked.recordCompletion();
    const isLost = result.kind === "unknown" || result.kind === "cut";
    // After an abort, this daemon itself closed the connection, and targets abort
    // responses that slow clients leave unread: both are no evidence of a crash.
    if (!isLost || context.signal.aborted || result.isClientSlow) return false;
    return await tracked.recordConnectionLoss();
  }

  async #send(
    target: TargetView,
    context: RequestContext,
    relay: ResponseRelay,
  ): Promise<AttemptResult> {
    const response = await this.#dependencies.targetClient.send(target, {
      method: context.method,
      path: context.path,
      headers: {
        ...context.headers,
        ...relay.resumeHeaders(),
        [REQUEST_ID_HEADER]: context.requestId,
      },
      body: context.body,
      signal: context.signal,
      usesFreshConnection: usesNewConnection(context.route),
    });
    if (response.isOk()) {
      this.#recordNotices(target, response.value, context);
      return relay.relay(response.value, context);
    }
    const { kind, message } = response.error;
    if (kind === "not-sent") this.#targetSelector.recordUnreachable(target);
    return { kind: kind === "not-sent" ? "not-sent" : "unknown", message };
  }

  /** Records that a target wants no requests for a time, or leaves. */
  #recordNotices(
    target: TargetView,
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): void {
    if (isForeignResponse(response, context)) return;
    const { leavingObserver, random } = this.#dependencies;
    const { statusCode, headers } = response;
    const incarnation = headers[TARGET_LEAVING_HEADER]?.toString();
    if (incarnation !== undefined) {
      leavingObserver.onLeaving(target.name, incarnation);
    }
    if (statusCode !== STATUS_UNAVAILABLE) return;
    const stayAwayMs = parseRetryAfterMs(headers["retry-after"]?.toString());
    if (stayAwayMs === undefined) return;
    this.#targetSelector.recordAbsence(
      target,
      jitteredStayAwayMs(stayAwayMs, random()),
    );
  }

  #logFailure(
    selected: SelectedTarget,
    context: RequestContext,
    result: AttemptResult,
  ): void {
    this.#dependencies.metrics.count(`attempts_failed_total`);
    this.#dependencies.logger.event("targetFailed", {
      target: selected.target.name,
      requestId: context.requestId,
      result,
    });
  }
}

/** Whether the failure of an attempt may be due to its client alone. */
function isOfSlowClient(result: AttemptResult): boolean {
  return "isClientSlow" in result && result.isClientSlow === true;
}

function createFinalError(
  mayHaveExecuted: boolean,
  message: string,
  retryAfterMs: number,
): RequestError {
  if (mayHaveExecuted) {
    return createRequestError(502, "target_failed", message, {
      outcome: "unknown",
    });
  }
  return createRequestError(503, "no_target", message, {
    retryAfterMs,
  });
}

function createQuarantineError(mayHaveExecuted: boolean): RequestError {
  return createRequestError(
    422,
    "request_quarantined",
    "targets crashed each time that they ran this request; ask the operators to release it",
    { outcome: mayHaveExecuted ? "unknown" : "not-run" },
  );
}
