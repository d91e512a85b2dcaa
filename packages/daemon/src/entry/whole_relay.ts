import type { ServerResponse } from "node:http";
import type { RecordedAnswer } from "@coltsfootford/core";
import type { Dispatcher } from "undici";
import { z } from "zod";
import {
  AnswerRelay,
  type AttemptResult,
  discardBody,
  isForeignAnswer,
  isRefusedByTarget,
  type RelayedAnswer,
} from "./answer_relay.ts";
import type { RequestContext } from "./request_context.ts";

const FIRST_SERVER_ERROR = 500;
const FIRST_CLIENT_ERROR = 400;

/** Marks an answer that was recorded when the call ran. */
const REPLAYED_HEADER = "x-coltsfoot-replayed";
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Headers that belong to one connection and are not passed on. */
const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "x-target-ran",
  "x-request-id",
]);

const answerIdSchema = z.looseObject({ id: z.string() });

/** Passes an answer on only once all of it has arrived and was checked. */
export class WholeRelay extends AnswerRelay {
  readonly #outgoing: ServerResponse;
  #relayed: RelayedAnswer | undefined;

  constructor(outgoing: ServerResponse) {
    super();
    this.#outgoing = outgoing;
  }

  override canResume(): boolean {
    return false;
  }

  override resumeHeaders(): Readonly<Record<string, string>> {
    return {};
  }

  override async relay(
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): Promise<AttemptResult> {
    if (isRefusedByTarget(response)) {
      discardBody(response);
      return {
        kind: "refused",
        message: `the target refused with status ${response.statusCode}`,
      };
    }
    if (isForeignAnswer(response, context.requestId)) {
      discardBody(response);
      return { kind: "unknown", message: "the answer names another request" };
    }
    let body: Buffer;
    try {
      body = Buffer.from(await response.body.arrayBuffer());
    } catch {
      return { kind: "unknown", message: "the answer broke off" };
    }
    if (response.statusCode >= FIRST_SERVER_ERROR) {
      return {
        kind: "unknown",
        message: `the target failed with status ${response.statusCode}`,
      };
    }
    if (!isOwnBody(response, body, context)) {
      return {
        kind: "unknown",
        message: "the answer is not the request's own",
      };
    }
    this.#send(response, body);
    return { kind: "answered" };
  }

  override relayedAnswer(): RelayedAnswer | undefined {
    return this.#relayed;
  }

  override replay(answer: RecordedAnswer): void {
    const body = Buffer.from(answer.body);
    this.#outgoing.setHeader("content-type", answer.contentType);
    this.#outgoing.setHeader("x-coltsfoot-outcome", "completed");
    this.#outgoing.setHeader(REPLAYED_HEADER, "true");
    this.#outgoing.setHeader("content-length", body.length);
    this.#outgoing.writeHead(answer.status);
    this.#outgoing.end(body);
  }

  #send(response: Dispatcher.ResponseData, body: Buffer): void {
    const contentType = response.headers["content-type"];
    this.#relayed = {
      status: response.statusCode,
      contentType: typeof contentType === "string"
        ? contentType
        : DEFAULT_CONTENT_TYPE,
      body,
    };
    for (const [name, value] of Object.entries(response.headers)) {
      if (value === undefined || HOP_HEADERS.has(name)) continue;
      this.#outgoing.setHeader(name, value);
    }
    this.#outgoing.setHeader("x-coltsfoot-outcome", "completed");
    this.#outgoing.setHeader("content-length", body.length);
    this.#outgoing.writeHead(response.statusCode);
    this.#outgoing.end(body);
  }
}

/** Checks that a chat answer is whole JSON and carries the request's id. */
function isOwnBody(
  response: Dispatcher.ResponseData,
  body: Buffer,
  context: RequestContext,
): boolean {
  if (context.route.protocol !== "chat") return true;
  if (response.statusCode >= FIRST_CLIENT_ERROR) return true;
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch {
    return false;
  }
  const parsed = answerIdSchema.safeParse(value);
  return parsed.success && parsed.data.id === `chatcmpl-${context.requestId}`;
}
