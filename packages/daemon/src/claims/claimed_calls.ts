import { createHash } from "node:crypto";
import {
  type CallResult,
  findClaimPlace,
  type RecordedAnswer,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { AnswerRelay } from "../entry/answer_relay.ts";
import type { Refusal } from "../entry/refusal.ts";
import type { RequestContext } from "../entry/request_context.ts";
import type { ClaimController } from "./claim_controller.ts";
import { createClaimRefusal, createKeyRefusal } from "./claim_refusals.ts";

/** Largest body that is recorded for resends. */
const MAX_RECORDED_BODY_BYTES = 8 * 1024;
/** How long an answer "not run" waits until its key is free again. */
const RELEASE_WAIT_MS = 1_000;

/** Runs a request towards targets and tells how it ended. */
export type RunRequest = () => Promise<Result<void, Refusal>>;

/** Whether a request must run at most once, under a claim of its key. */
export function needsClaim(
  context: Pick<RequestContext, "route" | "idempotencyKey">,
): boolean {
  return context.idempotencyKey !== undefined && !context.route.idempotent;
}

/** Runs calls with an idempotency key, each under its claim. */
export class ClaimedCalls {
  readonly #controller: ClaimController;
  readonly #timer: TimerService;

  constructor(controller: ClaimController, timer: TimerService) {
    this.#controller = controller;
    this.#timer = timer;
  }

  /** Whether the request may be sent now; asked right before it is sent. */
  mayStart(context: RequestContext): boolean {
    if (this.#timer.nowMs() >= context.deadlineAtMs) return false;
    if (!needsClaim(context)) return true;
    return this.#controller.mayDispatch(context.requestId);
  }

  /** Claims the key, then runs the request or answers from the record. */
  async run(
    context: RequestContext,
    relay: AnswerRelay,
    run: RunRequest,
  ): Promise<Result<void, Refusal>> {
    const place = findClaimPlace(
      context.idempotencyKey ?? "",
      digest(context.team.name, context.route.name, context.idempotencyKey),
      this.#timer.wallClockMs(),
    );
    if (place.isErr()) return err(createKeyRefusal(place.error));
    const decision = await this.#controller.claim({
      callId: context.requestId,
      place: place.value,
      bodyDigest: digest(context.method, context.path, context.body),
      deadlineAtMs: context.deadlineAtMs,
    });
    if (decision.kind === "dispatch") {
      return await this.#runClaimed(context, relay, run);
    }
    if (decision.verdict.kind !== "replay") {
      return err(createClaimRefusal(decision.verdict));
    }
    relay.replay(decision.verdict.answer);
    return ok(undefined);
  }

  async #runClaimed(
    context: RequestContext,
    relay: AnswerRelay,
    run: RunRequest,
  ): Promise<Result<void, Refusal>> {
    let callResult: CallResult = { kind: "unknown" };
    try {
      const result = await run();
      callResult = describeResult(result, relay);
      return result;
    } finally {
      const recorded = this.#controller.finish(context.requestId, callResult);
      if (callResult.kind === "not-run") await this.#waitAtMost(recorded);
    }
  }

  #waitAtMost(recorded: Promise<void>): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.#timer.after(RELEASE_WAIT_MS, resolve);
      void recorded.then(() => {
        cancel();
        resolve();
      });
    });
  }
}

function describeResult(
  result: Result<void, Refusal>,
  relay: AnswerRelay,
): CallResult {
  if (result.isErr()) {
    const { outcome } = result.error;
    return { kind: outcome === "not-run" ? "not-run" : "unknown" };
  }
  const relayed = relay.relayedAnswer();
  const body = relayed?.body ?? Buffer.alloc(0);
  const summary = {
    status: relayed?.status ?? 200,
    bodyDigest: digest(body),
    sizeBytes: body.length,
  };
  if (!relayed || body.length > MAX_RECORDED_BODY_BYTES) {
    return { kind: "done", summary, answer: undefined };
  }
  const text = body.toString("utf8");
  // A body that is not text would come back changed, so only its digest is kept.
  const isText = Buffer.from(text, "utf8").equals(body);
  const answer: RecordedAnswer | undefined = isText
    ? { status: relayed.status, contentType: relayed.contentType, body: text }
    : undefined;
  return { kind: "done", summary, answer };
}

function digest(...parts: (string | Buffer | undefined)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    const bytes = Buffer.from(part ?? "");
    // The length keeps the parts apart, whatever bytes they hold.
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest("hex");
}
