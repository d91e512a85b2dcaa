import type { TimerService } from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { Blackboard, TargetView } from "../blackboard/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { TargetClient } from "../targets/index.ts";
import {
  type AnswerRelay,
  type AttemptResult,
  REQUEST_ID_HEADER,
} from "./answer_relay.ts";
import type { Permit, PermitGate } from "./permit_gate.ts";
import { createRefusal, type Refusal } from "./refusal.ts";
import type { RequestContext } from "./request_context.ts";
import { orderTargets } from "./target_order.ts";

const FULL_POOL_WAIT_MS = 10;
const RETRY_AFTER_MS = 1_000;

/** What the dispatcher needs from the rest of the daemon. */
export interface DispatcherParts {
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly targetClient: TargetClient;
  readonly permitGate: PermitGate;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A target that may take the request, with the permit for it. */
interface Place {
  readonly target: TargetView;
  readonly permit: Permit;
}

/** Takes a checked request through permits and tries to an answer. */
export class RequestDispatcher {
  readonly #parts: DispatcherParts;

  constructor(parts: DispatcherParts) {
    this.#parts = parts;
  }

  /** Resolves once the answer was passed on, or with why it was not. */
  async dispatch(
    context: RequestContext,
    relay: AnswerRelay,
  ): Promise<Result<void, Refusal>> {
    const tried = new Set<string>();
    let mayHaveRun = false;
    let message = "no target was free before the deadline";
    for (let attempt = 1; attempt <= context.route.maxAttempts; attempt++) {
      const place = await this.#findPlace(context, tried);
      if (!place) break;
      tried.add(place.target.name);
      const result = await this.#tryTarget(place, context, relay);
      if (result.kind === "answered") return ok(undefined);
      message = result.message;
      if (result.kind !== "not-run") mayHaveRun = true;
      if (!mayTryAgain(result, context, relay)) break;
    }
    return err(createFinalRefusal(mayHaveRun, message));
  }

  /** Waits for the first target in order that gives a permit. */
  async #findPlace(
    context: RequestContext,
    tried: ReadonlySet<string>,
  ): Promise<Place | undefined> {
    while (!context.signal.aborted) {
      const targets = this.#parts.blackboard.targets.read();
      const ordered = orderTargets(targets, context);
      const untried = ordered.filter((target) => !tried.has(target.name));
      for (const target of untried.length > 0 ? untried : ordered) {
        const permit = await this.#parts.permitGate.acquire(target, context);
        if (permit.isOk()) return { target, permit: permit.value };
      }
      await this.#wait(FULL_POOL_WAIT_MS);
    }
    return undefined;
  }

  async #tryTarget(
    place: Place,
    context: RequestContext,
    relay: AnswerRelay,
  ): Promise<AttemptResult> {
    try {
      if (context.signal.aborted || !place.permit.start()) {
        return {
          kind: "not-run",
          message: "the permit ended before the start",
        };
      }
      const result = await this.#send(place.target, context, relay);
      if (result.kind !== "answered") this.#logFailure(place, context, result);
      return result;
    } finally {
      place.permit.release();
    }
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
    return { kind: kind === "not-sent" ? "not-run" : "unknown", message };
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

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.timer.after(durationMs, resolve);
    });
  }
}

/** Whether a failed try may be followed by another one. */
function mayTryAgain(
  result: AttemptResult,
  context: RequestContext,
  relay: AnswerRelay,
): boolean {
  if (context.signal.aborted) return false;
  if (result.kind === "not-run") return true;
  if (!context.route.idempotent) return false;
  return result.kind === "unknown" || relay.canResume();
}

function createFinalRefusal(mayHaveRun: boolean, message: string): Refusal {
  if (mayHaveRun) {
    return createRefusal(502, "target_failed", message, { outcome: "unknown" });
  }
  return createRefusal(503, "no_target", message, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
