import {
  type AttemptFailure,
  type AttemptOutcome,
  type CancelTimer,
  chooseTarget,
  decideRetry,
  expectedFirstByteMs,
  type InFlightAttempt,
  isWaitFutile,
  mayRunAgain,
  type Placement,
  type RetryRefusal,
  returnAfterMs,
  sharedParts,
} from "@coltsfootford/core";
import type { AcceptedRequest, ForwarderParts } from "./forwarding_types.ts";
import type { ResponseMetadata } from "./request_codec.ts";
import { logEnded, logSent, logTryFailed } from "./request_log.ts";
import type { PooledTarget } from "./target_pool.ts";
import {
  type AttemptEnd,
  type StreamHead,
  TargetAttempt,
  type WholeAnswer,
} from "./target_attempt.ts";

/** Statuses by which callers are promised that their request never runs. */
const PROMISE_STATUSES = new Set([408, 421, 429, 503]);
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;
const FIRST_SERVER_ERROR = 500;

/** Part of the time left that may go into one connect. */
const CONNECT_SHARE = 0.3;
/** Longest connect; a lost first packet is sent again only after a second. */
const MAX_CONNECT_MS = 500;
/** Targets that may refuse a request before it is refused to its client. */
const MAX_REFUSALS = 3;

/** The one try that is on its way. */
interface CurrentTry {
  readonly send: TargetAttempt;
  readonly running: InFlightAttempt;
  readonly target: PooledTarget;
  readonly expectedMs: number;
}

/**
 * One request from its acceptance to its final answer. There is one try at a
 * time, and one timer that ends the request at its route's time-out.
 */
export class ForwardedRequest {
  readonly #accepted: AcceptedRequest;
  readonly #parts: ForwarderParts;
  readonly #onDone: () => void;
  readonly #deadlineMs: number;
  readonly #tried = new Set<string>();
  #current: CurrentTry | undefined;
  #cancelDeadline: CancelTimer = () => {};
  #sentTries = 0;
  #unsentTries = 0;
  #refusals = 0;
  /** Whether a target may have begun to work on the request. */
  #mayHaveRun = false;
  #lastEventId: string | undefined;
  /** The head of a stream whose first event has not come. */
  #streamHead: StreamHead | undefined;
  #isDone = false;

  constructor(
    accepted: AcceptedRequest,
    parts: ForwarderParts,
    onDone: () => void,
  ) {
    this.#accepted = accepted;
    this.#parts = parts;
    this.#onDone = onDone;
    this.#lastEventId = accepted.facts.lastEventId;
    const clientMs = accepted.facts.clientTimeoutMs ?? Infinity;
    const limitMs = Math.min(clientMs, accepted.route.timeoutMs);
    this.#deadlineMs = accepted.receivedAtMs + limitMs;
  }

  start(): void {
    this.#accepted.answer.onClientGone(() => this.#onClientGone());
    this.#cancelDeadline = this.#parts.timer.after(
      Math.max(0, this.#timeLeftMs()),
      () => this.#onDeadline(),
    );
    this.#parts.repeats.budgetOf(this.#accepted.service).recordFirstAttempt();
    this.#tryNext();
  }

  /** Gives up an answer that has been silent for too long. */
  checkSilence(): void {
    const current = this.#current;
    if (!current || this.#isDone) return;
    const nowMs = this.#parts.timer.nowMs();
    const { route } = this.#accepted;
    const isFutile = isWaitFutile({
      isRepeatable: mayRunAgain(route) && this.#hasAnotherTry(),
      hasAnswer: current.running.hasAnswer,
      isStream: route.kind === "stream",
      targetLatencyMs: route.targetLatencyMs,
      targetPauseMs: route.targetPauseMs,
      silentMs: nowMs - current.running.lastHeardAtMs,
      targetSilentMs: current.target.record.silentForMs(nowMs),
      timeLeftMs: this.#timeLeftMs(),
    });
    if (!isFutile) return;
    current.send.abort();
    this.#onTryEnd(current, { kind: "broken", cause: "silent" });
  }

  /** Whether a further try could follow if the current one were given up. */
  #hasAnotherTry(): boolean {
    const { route, service } = this.#accepted;
    if (this.#sentTries + 1 >= route.maxTargets) return false;
    if (this.#parts.repeats.budgetOf(service).savedRetries < 1) return false;
    return this.#parts.pool.ofService(service).some(({ target }) =>
      !this.#tried.has(target.incarnation)
    );
  }

  #timeLeftMs(): number {
    return this.#deadlineMs - this.#parts.timer.nowMs();
  }

  #tryNext(): void {
    const { route, service, facts } = this.#accepted;
    const placement = chooseTarget({
      prompt: facts.prompt,
      targetLatencyMs: route.targetLatencyMs,
      triedIncarnations: this.#tried,
      candidates: this.#parts.pool.ofService(service),
      departed: this.#parts.pool.departedOf(service),
      engine: this.#accepted.engine,
      cacheEstimates: this.#parts.pool.cacheEstimates,
      nowMs: this.#parts.timer.nowMs(),
    }, this.#parts.placement());
    if (!placement) return this.#giveUp("no target");
    this.#send(placement);
  }

  #send(placement: Placement): void {
    const accepted = this.#accepted;
    const parts = this.#parts;
    const target = placement.candidate as PooledTarget;
    const nowMs = parts.timer.nowMs();
    const timeLeftMs = this.#timeLeftMs();
    const running: InFlightAttempt = {
      startedAtMs: nowMs,
      unreadTokens: placement.missingTokens,
      lastHeardAtMs: nowMs,
      hasAnswer: false,
    };
    logSent(parts, accepted, placement, {
      timeLeftMs,
      triesBefore: this.#tried.size,
    });
    this.#tried.add(target.target.incarnation);
    target.record.tries.add(running);
    parts.pool.cacheEstimates.noteRead(
      target.target.incarnation,
      sharedParts(accepted.facts.prompt),
      nowMs,
    );
    const send = new TargetAttempt(
      {
        requestId: accepted.facts.requestId,
        method: accepted.method,
        path: accepted.path,
        headers: parts.codec.encodeAttempt(accepted.facts, {
          targetId: target.target.id,
          timeLeftMs,
          team: accepted.team?.name,
          rank: accepted.engine
            ? accepted.team?.rank ?? accepted.route.rank
            : undefined,
          lastEventId: this.#lastEventId,
          fetchFrom: placement.source?.candidate.target,
        }),
        body: accepted.body,
        target,
        connectTimeoutMs: Math.min(MAX_CONNECT_MS, timeLeftMs * CONNECT_SHARE),
        isStream: accepted.route.kind === "stream",
        running,
      },
      parts.codec,
      parts.timer,
      {
        onFirstByte: (facts) => this.#onFirstByte(current, facts),
        onStreamHead: (head) => {
          this.#streamHead = head;
        },
        onEvents: (bytes, lastId) => this.#onEvents(current, bytes, lastId),
        onEnd: (end) => this.#onTryEnd(current, end),
      },
    );
    const current: CurrentTry = {
      send,
      running,
      target,
      expectedMs: expectedFirstByteMs(
        placement.missingTokens,
        parts.placement(),
      ),
    };
    this.#current = current;
  }

  #onFirstByte(current: CurrentTry, facts: ResponseMetadata): void {
    const { timer, metrics } = this.#parts;
    const nowMs = timer.nowMs();
    const tookMs = nowMs - current.running.startedAtMs;
    metrics.recordMs("target_first_byte_ms", tookMs);
    const { record } = current.target;
    if (facts.load) record.recordReportedLoad(facts.load, nowMs);
    if (facts.hasNotRun) return;
    record.noteFirstByte(
      tookMs,
      current.expectedMs + this.#accepted.route.targetLatencyMs / 2,
      nowMs,
    );
  }

  /** Begins the answer with the head of the first target that sent events. */
  #beginStream(): void {
    if (this.#streamHead) this.#accepted.answer.begin(this.#streamHead);
  }

  #onEvents(
    current: CurrentTry,
    bytes: Buffer,
    lastId: string | undefined,
  ): void {
    if (lastId !== undefined) this.#lastEventId = lastId;
    const { answer } = this.#accepted;
    this.#beginStream();
    if (answer.write(bytes)) return;
    current.send.setPaused(true);
    answer.onDrain(() => current.send.setPaused(false));
  }

  #onTryEnd(current: CurrentTry, end: AttemptEnd): void {
    this.#current = undefined;
    current.target.record.tries.delete(current.running);
    if (this.#isDone) return;
    const nowMs = this.#parts.timer.nowMs();
    const verdict = this.#judge(end);
    current.target.record.recordOutcome(verdict, nowMs);
    if (end.kind === "unsent" || verdict === "silent") {
      current.target.record.suspend(nowMs);
    }
    if (end.kind === "unsent") this.#unsentTries += 1;
    if (end.kind === "refused") this.#refusals += 1;
    if (end.kind === "streamed") return this.#finishStream();
    if (end.kind === "whole" && !this.#isFailure(end.answer)) {
      return this.#passOn(end.answer);
    }
    if (end.kind === "broken" || end.kind === "whole") {
      this.#mayHaveRun = true;
      this.#sentTries += 1;
    }
    if (end.kind === "broken" && verdict !== "silent") {
      this.#parts.crashes.noteBroken(this.#accepted, current.target.target);
    }
    this.#afterFailure(current, end);
  }

  #judge(end: AttemptEnd): AttemptOutcome {
    if (end.kind === "streamed") return "good";
    if (end.kind === "refused") return "refused";
    if (end.kind === "broken" && end.cause === "silent") return "silent";
    if (end.kind !== "whole") return "failed";
    return this.#isFailure(end.answer) ? "failed" : "good";
  }

  /** An answer by which the target says that it failed, or lies. */
  #isFailure({ status }: WholeAnswer): boolean {
    return status >= FIRST_SERVER_ERROR || PROMISE_STATUSES.has(status);
  }

  #afterFailure(current: CurrentTry, end: AttemptEnd): void {
    const { route, service, answer } = this.#accepted;
    const decision = this.#refusals > MAX_REFUSALS
      ? { kind: "stop" as const, reason: "tries-used-up" as RetryRefusal }
      : decideRetry({
        failure: this.#describeFailure(end),
        isIdempotent: mayRunAgain(route),
        canResume: route.isResumable && this.#lastEventId !== undefined,
        hasTargetCrashed: false,
        attemptsSent: this.#sentTries,
        attemptsUnsent: this.#unsentTries,
        maxAttempts: route.maxTargets,
        nowMs: this.#parts.timer.nowMs(),
        deadlineMs: this.#deadlineMs,
      }, this.#parts.repeats.budgetOf(service));
    logTryFailed(this.#parts, this.#accepted, {
      target: current.target.target.incarnation,
      end,
      afterMs: this.#parts.timer.nowMs() - current.running.startedAtMs,
      decision,
    });
    if (decision.kind === "retry") return this.#tryNext();
    if (end.kind === "whole" && !answer.hasBegun) {
      if (!PROMISE_STATUSES.has(end.answer.status)) {
        return this.#passOn(end.answer);
      }
    }
    this.#giveUp(decision.reason);
  }

  #describeFailure(end: AttemptEnd): AttemptFailure {
    if (end.kind === "unsent") return "not-sent";
    if (end.kind === "refused") return "refused";
    return this.#accepted.answer.hasBegun ? "cut" : "maybe-run";
  }

  #finishStream(): void {
    this.#beginStream();
    this.#accepted.answer.end();
    this.#parts.crashes.noteServed(this.#accepted);
    this.#done("served", 200);
  }

  #passOn(answer: WholeAnswer): void {
    this.#accepted.answer.passOn(answer);
    this.#parts.crashes.noteServed(this.#accepted);
    this.#done("served", answer.status);
  }

  #giveUp(reason: string): void {
    const { answer } = this.#accepted;
    if (answer.hasBegun) {
      answer.cutOff();
      return this.#done(reason, 0);
    }
    if (this.#mayHaveRun) {
      answer.refuse(STATUS_BAD_GATEWAY, reason);
      return this.#done(reason, STATUS_BAD_GATEWAY);
    }
    const afterMs = returnAfterMs(this.#timeLeftMs(), this.#parts.random());
    const headers = this.#parts.codec.encodeReturnTime(afterMs);
    answer.refuse(STATUS_UNAVAILABLE, reason, headers);
    this.#done(reason, STATUS_UNAVAILABLE);
  }

  #onDeadline(): void {
    if (this.#isDone) return;
    const current = this.#current;
    const isAtTarget = this.#mayHaveRun || current?.send.isSent === true;
    this.#endCurrent();
    if (current) {
      current.target.record.recordOutcome("failed", this.#parts.timer.nowMs());
    }
    const { answer } = this.#accepted;
    const status = isAtTarget ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE;
    if (answer.hasBegun) answer.cutOff();
    else answer.refuse(status, "time-out");
    this.#done("time-out", status);
  }

  #onClientGone(): void {
    if (this.#isDone) return;
    this.#endCurrent();
    this.#done("client gone", 0);
  }

  #endCurrent(): void {
    const current = this.#current;
    if (!current) return;
    this.#current = undefined;
    current.target.record.tries.delete(current.running);
    current.send.abort();
  }

  #done(outcome: string, status: number): void {
    this.#isDone = true;
    this.#cancelDeadline();
    logEnded(this.#parts, this.#accepted, {
      outcome,
      status,
      tries: this.#tried.size,
      mayHaveRun: this.#mayHaveRun,
    });
    this.#onDone();
  }
}
