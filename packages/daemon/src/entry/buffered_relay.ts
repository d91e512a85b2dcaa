import type { ServerResponse } from "node:http";
import {
  type Outcome,
  provesCompleteBody,
  type RecordedResponse,
  type TimerService,
} from "@coltsfootford/core";
import type { Dispatcher } from "undici";
import { z } from "zod";
import type { BodyPieces, PieceBuffer } from "../buffering/index.ts";
import { needsClaim } from "../claims/index.ts";
import { ClientOutput } from "./client_output.ts";
import {
  type AttemptResult,
  delimiterOf,
  discardBody,
  isForeignResponse,
  isRejectedByTarget,
  type RelayedResponse,
  ResponseRelay,
} from "./response_relay.ts";
import type { RequestContext } from "./request_context.ts";
import type { RequestMemory } from "./request_memory.ts";

const FIRST_SERVER_ERROR = 500;
const FIRST_CLIENT_ERROR = 400;

/** Marks a response that was replayed from the record of an earlier call. */
const REPLAYED_HEADER = "x-coltsfoot-replayed";
const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Headers that concern only the target and the daemon, and are not relayed. */
const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "transfer-encoding",
  "content-length",
  "x-target-ran",
  "x-target-leaving",
  "x-request-id",
]);

const responseIdSchema = z.looseObject({ id: z.string() });

/** Relays a response only after it has arrived completely and was validated. */
export class BufferedRelay extends ResponseRelay {
  readonly #outgoing: ServerResponse;
  readonly #timer: TimerService;
  readonly #memory: RequestMemory;
  #relayed: RelayedResponse | undefined;

  constructor(
    outgoing: ServerResponse,
    timer: TimerService,
    memory: RequestMemory,
  ) {
    super();
    this.#outgoing = outgoing;
    this.#timer = timer;
    this.#memory = memory;
  }

  override get hasRelayedPart(): boolean {
    return this.#outgoing.headersSent;
  }

  override get relayedTokens(): number {
    return 0;
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
    if (isForeignResponse(response, context)) {
      discardBody(response);
      return { kind: "unknown", message: "the answer is to another request" };
    }
    if (isRejectedByTarget(response)) {
      discardBody(response);
      return {
        kind: "refused",
        message: `the target refused with status ${response.statusCode}`,
      };
    }
    const body = this.#memory.openResponse();
    try {
      return await this.#relayBody(response, body, context);
    } finally {
      body.release();
    }
  }

  async #relayBody(
    response: Dispatcher.ResponseData,
    body: PieceBuffer,
    context: RequestContext,
  ): Promise<AttemptResult> {
    try {
      for await (const chunk of response.body) {
        body.append(chunk);
        if (body.held.isEvicted) break;
      }
    } catch {
      return { kind: "unknown", message: "the answer broke off" };
    }
    if (body.held.isEvicted) {
      const message = "the daemon holds too many bytes for its clients";
      return { kind: "unknown", message };
    }
    if (response.statusCode >= FIRST_SERVER_ERROR) {
      return {
        kind: "unknown",
        message: `the target failed with status ${response.statusCode}`,
      };
    }
    if (!isBodyOfRequest(response, body, context)) {
      return {
        kind: "unknown",
        message: "the answer is not the request's own",
      };
    }
    this.#send(response, body, context);
    return { kind: "answered" };
  }

  override relayedResponse(): RelayedResponse | undefined {
    return this.#relayed;
  }

  override replay(recorded: RecordedResponse): void {
    const body = Buffer.from(recorded.body);
    this.#outgoing.setHeader("content-type", recorded.contentType);
    this.#outgoing.setHeader("x-coltsfoot-outcome", "completed");
    this.#outgoing.setHeader(REPLAYED_HEADER, "true");
    this.#outgoing.setHeader("content-length", body.length);
    this.#outgoing.writeHead(recorded.status);
    this.#deliver([body]);
  }

  /**
   * Sends a response with the length of what has arrived, so that its client
   * detects a truncated one. The outcome states whether the target has proved it
   * complete.
   */
  #send(
    response: Dispatcher.ResponseData,
    body: PieceBuffer,
    context: RequestContext,
  ): void {
    const contentType = response.headers["content-type"];
    const delimiter = delimiterOf(response, context.method);
    const isProvenComplete = provesCompleteBody(delimiter) ||
      isCheckedChat(response, context);
    if (needsClaim(context)) {
      this.#relayed = {
        isProvenComplete,
        status: response.statusCode,
        contentType: typeof contentType === "string"
          ? contentType
          : DEFAULT_CONTENT_TYPE,
        body: Buffer.concat(body.pieces),
      };
    }
    for (const [name, value] of Object.entries(response.headers)) {
      if (value === undefined || HOP_HEADERS.has(name)) continue;
      this.#outgoing.setHeader(name, value);
    }
    const outcome: Outcome = isProvenComplete ? "completed" : "unknown";
    this.#outgoing.setHeader("x-coltsfoot-outcome", outcome);
    if (delimiter !== "none") {
      this.#outgoing.setHeader("content-length", body.length);
    } else if (context.method === "HEAD") {
      const length = response.headers["content-length"];
      if (length !== undefined) {
        this.#outgoing.setHeader("content-length", length);
      }
    }
    this.#outgoing.writeHead(response.statusCode);
    const { pieces } = body;
    // From here on, the pieces are charged as output.
    body.clear();
    this.#deliver(pieces);
  }

  /** Writes a body as its client reads it, and ends the response. */
  #deliver(pieces: readonly Buffer[]): void {
    const output = new ClientOutput(this.#outgoing, this.#timer, this.#memory);
    for (const piece of pieces) output.write(piece);
    output.end();
  }
}

/** Whether the response is a chat whose body was checked to be whole JSON. */
function isCheckedChat(
  { statusCode }: Dispatcher.ResponseData,
  { route }: RequestContext,
): boolean {
  return route.protocol === "chat" && statusCode < FIRST_CLIENT_ERROR;
}

/** Whether a chat response is complete JSON and carries the request's id. */
function isBodyOfRequest(
  response: Dispatcher.ResponseData,
  { pieces }: BodyPieces,
  context: RequestContext,
): boolean {
  if (!isCheckedChat(response, context)) return true;
  let value: unknown;
  try {
    value = JSON.parse(Buffer.concat(pieces).toString("utf8"));
  } catch {
    return false;
  }
  const parsed = responseIdSchema.safeParse(value);
  return parsed.success && parsed.data.id === `chatcmpl-${context.requestId}`;
}
