import type { TimerService } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { AdmissionTicket } from "../admission/index.ts";
import type { Blackboard, TargetView } from "../blackboard/index.ts";
import { needsClaim } from "../claims/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { digestRequest, type RunningMark } from "../poison/index.ts";
import type { TargetClient } from "../targets/index.ts";
import {
  type AnswerRelay,
  type AttemptResult,
  REQUEST_ID_HEADER,
} from "./answer_relay.ts";
import { AttemptHistory } from "./next_attempt.ts";
import type { PermitGate } from "./permit_gate.ts";
import { type Place, PlaceFinder } from "./place_finder.ts";
import { createRefusal, type Refusal } from "./refusal.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestGuards } from "./request_guards.ts";
import type { TargetOrder } from "./target_order.ts";

const RETRY_AFTER_MS = 1_000;

/** What the dispatcher needs from the rest of the daemon. */
export interface DispatcherParts {
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly targetClient: TargetClient;
  readonly permitGate: PermitGate;
  readonly placement: TargetOrder;
  readonly guards: RequestGuards;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** How a try ended, and whether the target died meanwhile. */
interface EndedTry {
  readonly result: AttemptResult;
  readonly hasTargetCrashed: boolean;
}

/** Takes a checked request through its guards and tries to an answer. */
export class RequestDispatcher {
  readonly #parts: DispatcherParts;
  readonly #places: PlaceFinder;

  constructor(parts: DispatcherParts) {
    this.#parts = parts;
    this.#places = new PlaceFinder({ ...parts, poison: parts.guards.poison });
  }

  /** Resolves once the answer was passed on, or with why it was not. */
  async dispatch(
    context: RequestContext,
    relay: AnswerRelay,
  ): Promise<Result<void, Refusal>> {
    const { admission, claims, poison } = this.#parts.guards;
    const digest = digestRequest(context);
    if (poison.judge(digest) === "quarantined") {
      return err(createQuarantineRefusal(false));
    }
    const ticket = await admission.admit(context);
    if (ticket.isErr()) return err(ticket.error);
    const run = () => this.#runTries(context, relay, ticket.value, digest);
    try {
      if (!needsClaim(context)) return await run();
      // The wait for a claim says nothing about room in the pool.
      ticket.value.setBlocked(false);
      return await claims.run(context, relay, run);
    } finally {
      ticket.value.release();
    }
  }

  async #runTries(
    context: RequestContext,
    relay: AnswerRelay,
    ticket: AdmissionTicket,
    digest: string,
  ): Promise<Result<void, Refusal>> {
    const { guards, timer } = this.#parts;
    const budget = guards.retries.of(context.route);
    const history = new AttemptHistory();
    let message = "no target was free before the deadline";
    budget.recordFirstAttempt();
    for (;;) {
      const verdict = guards.poison.judge(digest);
      if (verdict === "quarantined") {
        return err(createQuarantineRefusal(history.mayHaveRun));
      }
      const isSuspect = verdict === "suspect";
      const tried = history.targets;
      const place = await this.#places.find({
        context,
        ticket,
        tried,
        isSuspect,
      });
      if (!place) break;
      const { result, hasTargetCrashed } = await this.#tryTarget(
        place,
        context,
        relay,
        digest,
      );
      if (result.kind === "answered") return ok(undefined);
      message = result.message;
      history.note(place.target.name, result);
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
      this.#parts.metrics.count("retries_total");
    }
    return err(createFinalRefusal(history.mayHaveRun, message));
  }

  async #tryTarget(
    place: Place,
    context: RequestContext,
    relay: AnswerRelay,
    digest: string,
  ): Promise<EndedTry> {
    const { claims, poison } = this.#parts.guards;
    const { target, permit } = place;
    const mark = poison.begin(target, context.requestId, digest);
    try {
      // Nothing may be awaited between these checks and the send.
      const mayStart = !context.signal.aborted &&
        claims.mayStart(context) && permit.start();
      if (!mayStart) {
        const message = "the right to start ended before the request was sent";
        const result: AttemptResult = { kind: "not-sent", message };
        return { result, hasTargetCrashed: false };
      }
      const result = await this.#send(target, context, relay);
      const hasTargetCrashed = await this.#judgeEnd(mark, result, context);
      if (result.kind !== "answered") this.#logFailure(place, context, result);
      return { result, hasTargetCrashed };
    } finally {
      mark.end();
      place.endIsolation?.();
      permit.release();
      this.#places.noteRelease();
    }
  }

  /**
   * Tells the search for crashing requests how a try ended. Resolves with
   * whether the target is known to have crashed.
   */
  async #judgeEnd(
    mark: RunningMark,
    result: AttemptResult,
    context: RequestContext,
  ): Promise<boolean> {
    if (result.kind === "answered") mark.endCompleted();
    const isLost = result.kind === "unknown" || result.kind === "cut";
    // After an abort it was this daemon that dropped the connection.
    if (!isLost || context.signal.aborted) return false;
    return await mark.endLost();
  }

  async #send(
    target: TargetView,
    context: RequestContext,
    relay: AnswerRelay,
  ): Promise<AttemptResult> {
    const response = await this.#parts.targetClient.send(target, {
      method: context.method,
      path: context.path,
      headers: {
        ...context.headers,
        ...relay.resumeHeaders(),
        [REQUEST_ID_HEADER]: context.requestId,
      },
      body: context.body,
      signal: context.signal,
      usesFreshConnection: !context.route.idempotent,
    });
    if (response.isOk()) return relay.relay(response.value, context);
    const { kind, message } = response.error;
    if (kind === "not-sent") this.#places.noteUnreachable(target);
    return { kind: kind === "not-sent" ? "not-sent" : "unknown", message };
  }

  #logFailure(
    place: Place,
    context: RequestContext,
    result: AttemptResult,
  ): void {
    this.#parts.metrics.count(`attempts_failed_total`);
    this.#parts.logger.event("targetFailed", {
      target: place.target.name,
      requestId: context.requestId,
      result,
    });
  }
}

function createFinalRefusal(mayHaveRun: boolean, message: string): Refusal {
  if (mayHaveRun) {
    return createRefusal(502, "target_failed", message, { outcome: "unknown" });
  }
  return createRefusal(503, "no_target", message, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createQuarantineRefusal(mayHaveRun: boolean): Refusal {
  return createRefusal(
    422,
    "request_quarantined",
    "targets crashed each time that they ran this request; ask the operators to release it",
    { outcome: mayHaveRun ? "unknown" : "not-run" },
  );
}
