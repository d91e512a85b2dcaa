import { createHash } from "node:crypto";
import {
  type CallResult,
  findClaimLocation,
  type RecordedResponse,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { type BodyBytes, bodyPieces } from "../buffering/index.ts";
import type { ResponseRelay } from "../entry/response_relay.ts";
import type { RequestError } from "../entry/request_error.ts";
import type { RequestContext } from "../entry/request_context.ts";
import type { ClaimController } from "./claim_controller.ts";
import { createClaimError, createKeyError } from "./claim_errors.ts";

/** Maximum size of a response body that is recorded for replay. */
const MAX_RECORDED_BODY_BYTES = 8 * 1024;
/** Maximum time that a `not-run` response waits for the release of its key. */
const MAX_RELEASE_WAIT_MS = 1_000;

/** Sends a request to targets and resolves with its result. */
export type ExecuteRequest = () => Promise<Result<void, RequestError>>;

/** Whether a request must execute at most once, under a claim of its key. */
export function needsClaim(
  context: Pick<RequestContext, "route" | "idempotencyKey">,
): boolean {
  return context.idempotencyKey !== undefined && !context.route.idempotent;
}

/** Executes calls with an idempotency key, each under its claim. */
export class ClaimedCalls {
  readonly #controller: ClaimController;
  readonly #timer: TimerService;

  constructor(controller: ClaimController, timer: TimerService) {
    this.#controller = controller;
    this.#timer = timer;
  }

  /** Whether the request may be sent now; call it immediately before the send. */
  mayStart(context: RequestContext): boolean {
    if (this.#timer.nowMs() >= context.deadlineAtMs) return false;
    if (!needsClaim(context)) return true;
    return this.#controller.mayDispatch(context.requestId);
  }

  /** Claims the key, then executes the request or replays its record. */
  async execute(
    context: RequestContext,
    relay: ResponseRelay,
    executeRequest: ExecuteRequest,
  ): Promise<Result<void, RequestError>> {
    const location = findClaimLocation(
      context.idempotencyKey ?? "",
      digest(context.team.name, context.route.name, context.idempotencyKey),
      this.#timer.wallClockMs(),
    );
    if (location.isErr()) return err(createKeyError(location.error));
    const decision = await this.#controller.claim({
      callId: context.requestId,
      location: location.value,
      bodyDigest: digest(context.method, context.path, context.body),
      deadlineAtMs: context.deadlineAtMs,
    });
    if (decision.kind === "dispatch") {
      return await this.#executeClaimed(context, relay, executeRequest);
    }
    if (decision.result.kind !== "replay") {
      return err(createClaimError(decision.result));
    }
    relay.replay(decision.result.response);
    return ok(undefined);
  }

  async #executeClaimed(
    context: RequestContext,
    relay: ResponseRelay,
    executeRequest: ExecuteRequest,
  ): Promise<Result<void, RequestError>> {
    let callResult: CallResult = { kind: "unknown" };
    try {
      const result = await executeRequest();
      callResult = createCallResult(result, relay);
      return result;
    } finally {
      const recorded = this.#controller.finish(context.requestId, callResult);
      if (callResult.kind === "not-run") await this.#waitAtMost(recorded);
    }
  }

  #waitAtMost(recorded: Promise<void>): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.#timer.after(MAX_RELEASE_WAIT_MS, resolve);
      void recorded.then(() => {
        cancel();
        resolve();
      });
    });
  }
}

function createCallResult(
  result: Result<void, RequestError>,
  relay: ResponseRelay,
): CallResult {
  if (result.isErr()) {
    const { outcome } = result.error;
    return { kind: outcome === "not-run" ? "not-run" : "unknown" };
  }
  const relayed = relay.relayedResponse();
  const body = relayed?.body ?? Buffer.alloc(0);
  const summary = {
    status: relayed?.status ?? 200,
    bodyDigest: digest(body),
    sizeBytes: body.length,
  };
  const isRecordable = relayed?.isProvenComplete === true &&
    body.length <= MAX_RECORDED_BODY_BYTES;
  if (!isRecordable) {
    return { kind: "done", summary, response: undefined };
  }
  const text = body.toString("utf8");
  // A body that is not valid UTF-8 would be replayed with other bytes, so only
  // its digest is recorded.
  const isText = Buffer.from(text, "utf8").equals(body);
  const response: RecordedResponse | undefined = isText
    ? { status: relayed.status, contentType: relayed.contentType, body: text }
    : undefined;
  return { kind: "done", summary, response };
}

function digest(...parts: (string | BodyBytes | undefined)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) {
    const body = typeof part === "object" ? part : Buffer.from(part ?? "");
    // The length prefix makes the concatenation of the parts unambiguous.
    hash.update(`${body.length}:`);
    for (const piece of bodyPieces(body)) hash.update(piece);
  }
  return hash.digest("hex");
}
