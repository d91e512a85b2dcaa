import {
  type CancelTimer,
  canExecuteTwice,
  decideRetry,
  EventSequence,
  expectedFirstByteMs,
  findQuarantinedParts,
  jitteredRetryAfterMs,
  type Placement,
  type RetryStopReason,
  sharedParts,
} from "@coltsfootford/core";
import {
  type CurrentAttempt,
  isAttemptFutile,
  recordEnd,
  recordFirstByte,
  reportServed,
  startInFlight,
} from "./current_attempt.ts";
import { createAttemptPlan } from "./attempt_plan.ts";
import { canRetryAfterAbort } from "./can_retry_after_abort.ts";
import {
  classifyFailure,
  isFailureResponse,
  NOT_EXECUTED_STATUSES,
  requireUsableEnd,
} from "./classify_attempt_end.ts";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";
import { observeBroken, observeStreamEnd } from "./observe_crash.ts";
import { digestRequest } from "./request_digest.ts";
import {
  describeEnd,
  logAttemptFailed,
  logEnded,
  logSent,
} from "./request_log.ts";
import type { PooledTarget } from "./target_pool.ts";
import { TargetSelection } from "./target_selection.ts";
import type {
  AttemptEnd,
  BufferedResponse,
  ResponseHead,
} from "./attempt_types.ts";
import { TargetAttempt } from "./target_attempt.ts";

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

/** Rejections by targets after which a request may still be retried. */
const MAX_REJECTIONS = 3;
const TOO_MANY_BYTES = "too many bytes held";

/** Forwards one request: one attempt at a time, one timer for its deadline. */
export class ForwardedRequest {
  readonly #accepted: AcceptedRequest;
  readonly #dependencies: ForwarderDependencies;
  readonly #onFinished: () => void;
  readonly #deadlineMs: number;
  readonly #attemptedIncarnations = new Set<string>();
  #current: CurrentAttempt | undefined;
  #selection: TargetSelection | undefined;
  #cancelDeadline: CancelTimer = () => {};
  #attemptsSent = 0;
  #attemptsUnsent = 0;
  #rejections = 0;
  /** Whether an earlier attempt may have executed the request. */
  #mayHaveExecuted = false;
  readonly #events: EventSequence;
  /** The head of the latest stream; sent to the client with the first event. */
  #streamHead: ResponseHead | undefined;
  #hasFinished = false;
  /** The head of the last response of a target. */
  #lastHead: ResponseHead | undefined;

  constructor(
    accepted: AcceptedRequest,
    dependencies: ForwarderDependencies,
    onFinished: () => void,
  ) {
    this.#accepted = accepted;
    this.#dependencies = dependencies;
    this.#onFinished = onFinished;
    this.#events = new EventSequence(accepted.metadata.lastEventId);
    const clientTimeoutMs = accepted.metadata.clientTimeoutMs ?? Infinity;
    const timeoutMs = Math.min(clientTimeoutMs, accepted.route.timeoutMs);
    this.#deadlineMs = accepted.receivedAtMs + timeoutMs;
  }

  start(): void {
    const { body, response } = this.#accepted;
    response.onDisconnect(() => this.#onDisconnect());
    body.held.onEvicted(() => this.#onBodyEvicted());
    response.held.onEvicted(() => this.abort(TOO_MANY_BYTES));
    if (this.#hasFinished) return;
    this.#cancelDeadline = this.#dependencies.timer.after(
      Math.max(0, this.#timeLeftMs()),
      () => this.#onDeadline(),
    );
    this.#dependencies.retryShares.budgetOf(this.#accepted.service)
      .recordFirstAttempt();
    this.#startNextAttempt();
  }

  /** Ends the request early, by a final response if it can. */
  abort(reason = "shutdown limit"): void {
    if (this.#hasFinished) return;
    if (this.#current?.attempt.isSent) this.#mayHaveExecuted = true;
    this.#abortCurrent();
    this.#fail(reason);
  }

  /** Aborts the attempt if its target has sent nothing for too long. */
  checkResponsiveness(): void {
    const current = this.#current;
    if (!current || this.#hasFinished) return;
    const isRetryable = canRetryAfterAbort(
      this.#accepted,
      this.#dependencies,
      this.#attemptsSent,
      this.#attemptedIncarnations,
    );
    const isFutile = isAttemptFutile(
      this.#dependencies,
      this.#accepted,
      current,
      {
        isRetryable,
        timeLeftMs: this.#timeLeftMs(),
      },
    );
    if (!isFutile) return;
    current.attempt.abort();
    this.#onAttemptEnd(current, { kind: "broken", cause: "silent" });
  }

  #timeLeftMs(): number {
    return this.#deadlineMs - this.#dependencies.timer.nowMs();
  }

  #startNextAttempt(): void {
    this.#selection?.cancel();
    this.#selection = new TargetSelection(
      this.#accepted,
      this.#dependencies,
      this.#attemptedIncarnations,
      () => this.#timeLeftMs(),
      {
        onSelected: (placement) => this.#sendAttempt(placement),
        onNone: (...rejection) => this.#fail(...rejection),
      },
    );
    this.#selection.start();
  }

  #sendAttempt(placement: Placement): void {
    const accepted = this.#accepted;
    const dependencies = this.#dependencies;
    const { prompt } = accepted.metadata;
    if (findQuarantinedParts(prompt, dependencies.quarantinedParts())) {
      return this.#fail("quarantined");
    }
    const target = placement.candidate as PooledTarget;
    const nowMs = dependencies.timer.nowMs();
    const timeLeftMs = this.#timeLeftMs();
    const inFlight = startInFlight(nowMs, placement.missingTokens);
    logSent(dependencies, accepted, placement, {
      timeLeftMs,
      triesBefore: this.#attemptedIncarnations.size,
    });
    this.#attemptedIncarnations.add(target.target.incarnation);
    target.record.attempts.add(inFlight);
    dependencies.pool.cacheEstimates.recordRead(
      target.target.incarnation,
      sharedParts(prompt),
      nowMs,
    );
    this.#events.startRun();
    const attempt = TargetAttempt.start(
      createAttemptPlan(accepted, placement, dependencies.codec, {
        timeLeftMs,
        events: this.#events,
        inFlight,
      }),
      dependencies.codec,
      dependencies.timer,
      {
        onFirstByte: (head) => this.#onFirstByte(current, head),
        onStreamHead: (head) => {
          this.#streamHead = head;
        },
        onEvents: (bytes) => this.#onEvents(current, bytes),
        onEnd: (end) => this.#onAttemptEnd(current, end),
        onClosedAfterFailure: () =>
          observeBroken(dependencies, accepted, current),
        onFault: (error) => this.#onFault(error),
      },
    );
    if (attempt.isErr()) {
      target.record.attempts.delete(inFlight);
      return this.#fail(`request can't be sent: ${attempt.error.message}`);
    }
    const current: CurrentAttempt = {
      attempt: attempt.value,
      inFlight,
      target,
      placement,
      expectedFirstByteMs: expectedFirstByteMs(
        placement.missingTokens,
        dependencies.placement(),
      ),
    };
    this.#current = current;
  }

  /** Once a target has begun to respond, a second attempt is all that is lost. */
  #onBodyEvicted(): void {
    const { attempt, inFlight } = this.#current ?? {};
    if (!inFlight?.hasResponse || !attempt?.isBodySent) {
      return this.abort(TOO_MANY_BYTES);
    }
    const { body, metadata } = this.#accepted;
    body.release();
    this.#accepted.metadata = { ...metadata, headers: [] };
  }

  #onFirstByte(current: CurrentAttempt, head: ResponseHead): void {
    this.#lastHead = head;
    recordFirstByte(this.#dependencies, this.#accepted, current, head);
  }

  /** Starts the client's response with the latest head, unless it has started. */
  #startStream(): void {
    if (this.#streamHead) this.#accepted.response.startStream(this.#streamHead);
  }

  #onEvents(current: CurrentAttempt, bytes: Buffer): void {
    const { response } = this.#accepted;
    this.#startStream();
    if (response.write(bytes)) return;
    current.attempt.setPaused(true);
    response.onDrain(() => current.attempt.setPaused(false));
  }

  #onAttemptEnd(current: CurrentAttempt, reportedEnd: AttemptEnd): void {
    const accepted = this.#accepted;
    const dependencies = this.#dependencies;
    this.#current = undefined;
    current.target.record.attempts.delete(current.inFlight);
    if (this.#hasFinished) return;
    const end = requireUsableEnd(reportedEnd, this.#accepted.response);
    recordEnd(this.#dependencies, this.#accepted, current, end);
    if (end.kind === "unsent") this.#attemptsUnsent += 1;
    if (end.kind === "refused") this.#rejections += 1;
    if (end.kind === "streamed") {
      observeStreamEnd(dependencies, accepted, current, end.delimiter);
      return this.#finishStream();
    }
    if (end.kind === "whole" && !isFailureResponse(end.response)) {
      return this.#relayResponse(end.response);
    }
    if (end.kind === "whole" && !accepted.body.held.isEvicted) {
      current.digest = digestRequest(accepted);
    }
    if (end.kind === "broken" || end.kind === "whole") {
      this.#mayHaveExecuted = true;
      this.#attemptsSent += 1;
    }
    this.#onFailure(current, end);
  }

  #onFailure(current: CurrentAttempt, end: AttemptEnd): void {
    const { route, service, response, body } = this.#accepted;
    const isFinal = this.#rejections > MAX_REJECTIONS || body.held.isEvicted;
    const decision = isFinal
      ? { kind: "stop" as const, reason: "tries-used-up" as RetryStopReason }
      : decideRetry({
        failure: classifyFailure(end, response.hasStarted),
        isIdempotent: canExecuteTwice(route),
        canResume: route.isResumable && this.#events.isResumable,
        hasTargetCrashed: false,
        attemptsSent: this.#attemptsSent,
        attemptsUnsent: this.#attemptsUnsent,
        maxAttempts: route.maxTargets,
        nowMs: this.#dependencies.timer.nowMs(),
        deadlineMs: this.#deadlineMs,
      }, this.#dependencies.retryShares.budgetOf(service));
    logAttemptFailed(this.#dependencies, this.#accepted, {
      target: current.target.target.incarnation,
      end,
      eventsReceived: current.inFlight.eventsReceived,
      afterMs: this.#dependencies.timer.nowMs() - current.inFlight.startedAtMs,
      decision,
    });
    if (decision.kind === "retry") return this.#startNextAttempt();
    if (end.kind === "whole" && !response.hasStarted) {
      if (!NOT_EXECUTED_STATUSES.has(end.response.status)) {
        return this.#relayResponse(end.response);
      }
    }
    this.#fail(decision.reason);
  }

  #finishStream(): void {
    this.#startStream();
    this.#accepted.response.end();
    reportServed(this.#dependencies, this.#accepted);
    this.#finish("served", 200);
  }

  #relayResponse(response: BufferedResponse): void {
    this.#accepted.response.relayResponse(response);
    reportServed(this.#dependencies, this.#accepted);
    this.#finish("served", response.status);
  }

  #fail(reason: string, retryAfterMs = 0, isExact = false): void {
    const { response } = this.#accepted;
    if (response.hasStarted) {
      response.abort();
      return this.#finish(reason, 0);
    }
    if (this.#mayHaveExecuted) {
      response.reject(STATUS_BAD_GATEWAY, reason);
      return this.#finish(reason, STATUS_BAD_GATEWAY);
    }
    const { codec, random } = this.#dependencies;
    const afterMs = jitteredRetryAfterMs(this.#timeLeftMs(), random());
    const headers = codec.encodeRetryAfter(
      isExact ? retryAfterMs : Math.max(afterMs, retryAfterMs),
    );
    response.reject(STATUS_UNAVAILABLE, reason, headers);
    this.#finish(reason, STATUS_UNAVAILABLE);
  }

  /** Ends this request alone after an unexpected error. */
  #onFault(error: Error): void {
    const { log, metrics } = this.#dependencies;
    const { metadata, response } = this.#accepted;
    metrics.count("internal_faults_total");
    log.event("internalFault", {
      request: metadata.requestId,
      error: error.stack ?? error.message,
    });
    if (this.#hasFinished) return response.abort();
    this.#mayHaveExecuted = true;
    this.#abortCurrent();
    this.#fail("internal fault");
  }

  #onDeadline(): void {
    if (this.#hasFinished) return;
    const current = this.#current;
    const wasSent = this.#mayHaveExecuted ||
      current?.attempt.isSent === true;
    this.#abortCurrent();
    const nowMs = this.#dependencies.timer.nowMs();
    if (current && !current.attempt.wasLeftUnread) {
      current.target.record.recordOutcome("failed", nowMs);
    }
    const status = wasSent ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE;
    const { response } = this.#accepted;
    if (response.hasStarted) response.abort();
    else response.reject(status, "time-out");
    this.#finish("time-out", status);
  }

  #onDisconnect(): void {
    if (this.#hasFinished) return;
    this.#abortCurrent();
    this.#finish("client gone", 0);
  }

  #abortCurrent(): void {
    const current = this.#current;
    if (!current) return;
    this.#current = undefined;
    current.target.record.attempts.delete(current.inFlight);
    current.attempt.abort();
  }

  #finish(outcome: string, status: number): void {
    this.#hasFinished = true;
    this.#accepted.body.release();
    this.#selection?.cancel();
    this.#cancelDeadline();
    logEnded(this.#dependencies, this.#accepted, {
      outcome,
      status,
      tries: this.#attemptedIncarnations.size,
      mayHaveRun: this.#mayHaveExecuted,
      ...describeEnd(this.#lastHead, this.#accepted.response),
    });
    this.#onFinished();
  }
}
