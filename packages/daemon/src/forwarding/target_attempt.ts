import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import {
  EventFramer,
  type InFlightAttempt,
  type TimerService,
} from "@coltsfootford/core";
import { findHeader } from "./http_headers.ts";
import type {
  RawHeaders,
  RequestCodec,
  ResponseMetadata,
} from "./request_codec.ts";
import type { PooledTarget } from "./target_pool.ts";

/** An answer that has come whole. */
export interface WholeAnswer {
  readonly status: number;
  readonly facts: ResponseMetadata;
  readonly contentLength: string | undefined;
  /** Whether the end of the body shows without the connection's end. */
  readonly isFramed: boolean;
  readonly body: Buffer;
}

/**
 * How a try ended. `unsent`: no byte was written. `refused`: the target says
 * that it has not run the request. `broken`: the request may have run and no
 * usable answer came. `whole`: the answer is there. `streamed`: all events of
 * the stream were passed on.
 */
export type AttemptEnd =
  | { readonly kind: "unsent"; readonly cause: string }
  | { readonly kind: "refused"; readonly status: number }
  | { readonly kind: "broken"; readonly cause: string }
  | { readonly kind: "whole"; readonly answer: WholeAnswer }
  | { readonly kind: "streamed" };

/** The head of a stream's answer. */
export interface StreamHead {
  readonly status: number;
  readonly facts: ResponseMetadata;
  /** See `WholeAnswer.isFramed`. */
  readonly isFramed: boolean;
}

/** What one try sends, and to whom. */
export interface AttemptPlan {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly target: PooledTarget;
  readonly connectTimeoutMs: number;
  readonly isStream: boolean;
  readonly running: InFlightAttempt;
}

/** Receives what a try brings. */
export interface AttemptListener {
  /** The head of a stream's answer has come. */
  onStreamHead(head: StreamHead): void;
  /** Whole events, in order. */
  onEvents(bytes: Buffer, lastId: string | undefined): void;
  /** The target has begun to answer. */
  onFirstByte(facts: ResponseMetadata): void;
  onEnd(end: AttemptEnd): void;
}

/** Largest answer that is kept until it is whole; larger ones break. */
const MAX_WHOLE_BYTES = 16 * 1024 * 1024;
const STATUS_OK = 200;
const STATUS_MULTIPLE_CHOICES = 300;

/** One send of a request to one target. */
export class TargetAttempt {
  readonly #plan: AttemptPlan;
  readonly #codec: RequestCodec;
  readonly #timer: TimerService;
  readonly #listener: AttemptListener;
  readonly #request: ClientRequest;
  #response: IncomingMessage | undefined;
  #isConnected = false;
  #hasEnded = false;
  #cancelConnectTimer: () => void = () => {};

  constructor(
    plan: AttemptPlan,
    codec: RequestCodec,
    timer: TimerService,
    listener: AttemptListener,
  ) {
    this.#plan = plan;
    this.#codec = codec;
    this.#timer = timer;
    this.#listener = listener;
    this.#request = this.#send();
  }

  /** Whether the request may have reached the target. */
  get isSent(): boolean {
    return this.#isConnected;
  }

  /** Ends the try and the target's work on it; `onEnd` is not called. */
  abort(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelConnectTimer();
    this.#request.destroy();
  }

  /** Stops or goes on reading, so that a slow client slows its target. */
  setPaused(isPaused: boolean): void {
    if (isPaused) this.#response?.pause();
    else this.#response?.resume();
  }

  #send(): ClientRequest {
    const { target, method, path, headers, body } = this.#plan;
    const outgoing = request({
      agent: target.connections,
      host: target.target.host,
      port: target.target.port,
      method,
      path,
      headers: withLength(headers, method, body),
      setHost: false,
    });
    outgoing.on("socket", (socket) => this.#onSocket(socket));
    outgoing.on("response", (response) => this.#onResponse(response));
    outgoing.on("error", (error) => this.#fail(error.message));
    outgoing.on("close", () => this.#fail("connection closed"));
    outgoing.end(body);
    return outgoing;
  }

  #onSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.#isConnected = true;
      return;
    }
    socket.once("connect", () => {
      this.#isConnected = true;
      this.#cancelConnectTimer();
    });
    this.#cancelConnectTimer = this.#timer.after(
      this.#plan.connectTimeoutMs,
      () => {
        if (!this.#isConnected) this.#fail("no connection in time");
      },
    );
  }

  #onResponse(response: IncomingMessage): void {
    if (this.#hasEnded) return;
    this.#response = response;
    const status = response.statusCode ?? 0;
    const facts = this.#codec.decodeAnswer(status, response.rawHeaders);
    this.#noteHeard();
    if (!this.#isOwn(facts)) return this.#fail("answer to another request");
    this.#plan.target.connections.noteIdleTimeout(
      findHeader(response.rawHeaders, "keep-alive"),
    );
    this.#plan.running.hasAnswer = true;
    this.#listener.onFirstByte(facts);
    response.on("error", (error) => this.#fail(error.message));
    response.on("aborted", () => this.#fail("answer broken off"));
    if (facts.hasNotRun) {
      response.resume();
      return this.#end({ kind: "refused", status });
    }
    const isGood = status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
    const fault = isGood ? findFault(facts) : undefined;
    if (fault !== undefined) return this.#fail(fault);
    if (isGood && this.#plan.isStream && isEventStream(facts)) {
      return this.#relayEvents(response, status, facts);
    }
    this.#collect(response, status, facts);
  }

  /**
   * A refusal may come without an id; any other answer must name its request,
   * since an answer to an earlier request can come late.
   */
  #isOwn(facts: ResponseMetadata): boolean {
    if (facts.requestId === this.#plan.requestId) return true;
    return facts.requestId === undefined && facts.hasNotRun;
  }

  #relayEvents(
    response: IncomingMessage,
    status: number,
    facts: ResponseMetadata,
  ): void {
    const framer = new EventFramer();
    const isStreamFramed = isFramed(response);
    this.#listener.onStreamHead({ status, facts, isFramed: isStreamFramed });
    response.on("data", (chunk: Buffer) => {
      if (this.#hasEnded) return;
      this.#noteHeard();
      const frames = framer.push(chunk);
      if (frames.length === 0) return;
      this.#plan.running.unreadTokens = 0;
      const bytes = Buffer.concat(frames.map((frame) => frame.bytes));
      const lastId = frames.findLast((frame) => frame.id !== undefined)?.id;
      this.#listener.onEvents(bytes, lastId);
    });
    response.on("end", () => {
      if (this.#hasEnded) return;
      if (!response.complete) return this.#fail("stream broken off");
      if (framer.rest.length > 0 && !isStreamFramed) {
        return this.#fail("stream ended inside an event");
      }
      if (framer.rest.length > 0) {
        this.#listener.onEvents(Buffer.from(framer.rest), undefined);
      }
      this.#end({ kind: "streamed" });
    });
  }

  #collect(
    response: IncomingMessage,
    status: number,
    facts: ResponseMetadata,
  ): void {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    response.on("data", (chunk: Buffer) => {
      if (this.#hasEnded) return;
      this.#noteHeard();
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_WHOLE_BYTES) return this.#fail("answer too large");
      chunks.push(chunk);
    });
    response.on("end", () => {
      if (this.#hasEnded) return;
      if (!response.complete) return this.#fail("answer broken off");
      const answer: WholeAnswer = {
        status,
        facts,
        contentLength: response.headers["content-length"],
        isFramed: isFramed(response),
        body: Buffer.concat(chunks),
      };
      this.#end({ kind: "whole", answer });
    });
  }

  #noteHeard(): void {
    this.#plan.running.lastHeardAtMs = this.#timer.nowMs();
  }

  /** Ends the try without a usable answer and closes its connection. */
  #fail(cause: string): void {
    if (this.#hasEnded) return;
    const kind = this.#isConnected ? "broken" : "unsent";
    this.#end({ kind, cause });
    this.#request.destroy();
  }

  #end(end: AttemptEnd): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelConnectTimer();
    this.#listener.onEnd(end);
  }
}

/** Why a success can't be the target's own whole answer, if so. */
function findFault(facts: ResponseMetadata): string | undefined {
  if (!facts.isSealed) return "answer without a signature";
  const encoding = findHeader(facts.headers, "content-encoding");
  if (encoding !== undefined && encoding !== "identity") {
    return "answer with an encoding that was not asked for";
  }
  return undefined;
}

function isEventStream(facts: ResponseMetadata): boolean {
  const type = findHeader(facts.headers, "content-type");
  return type === undefined || type.startsWith("text/event-stream");
}

function isFramed(response: IncomingMessage): boolean {
  const { headers } = response;
  return headers["transfer-encoding"] !== undefined ||
    headers["content-length"] !== undefined;
}

const BODILESS_METHODS = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

function withLength(
  headers: RawHeaders,
  method: string,
  body: Buffer,
): string[] {
  if (body.length === 0 && BODILESS_METHODS.has(method)) return [...headers];
  return [...headers, "Content-Length", String(body.length)];
}
