import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import {
  type EventFault,
  type EventFrame,
  EventFramer,
  ResponseLimits,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import { bodyPieces, HeldPart, PieceBuffer } from "../buffering/index.ts";
import { keepAllLines } from "../connections/index.ts";
import type {
  AttemptEnd,
  AttemptListener,
  AttemptPlan,
  BufferedResponse,
  ResponseHead,
} from "./attempt_types.ts";
import { HeaderLines } from "./http_headers.ts";
import { isServerError } from "./classify_attempt_end.ts";
import {
  delimiterOfResponse,
  endsInsideEvent,
  findHeadError,
  findResponseError,
  findStreamEndError,
  isEventStream,
  isResponseTo,
  isStreamed,
  isSuccess,
  readContentLength,
  withContentLength,
} from "./message_checks.ts";
import { observeClose } from "./observe_close.ts";
import { ReadPause } from "./read_pause.ts";
import type { RawHeaders, RequestCodec } from "./request_codec.ts";
import {
  MAX_RESPONSE_HEAD_BYTES,
  observeFailure,
  ResponseHeadHolding,
} from "./response_head.ts";

/** Time in which the rest of a rejection must arrive. */
const DISCARD_TIMEOUT_MS = 500;
/** Larger bodies are relayed before their end while memory is scarce. */
const MAX_BUFFERED_IF_SCARCE_BYTES = 128 * 1024;

/** One attempt to send a request to a target. */
export class TargetAttempt {
  /** Without the headers, which are of no use once they were sent. */
  readonly #plan: Omit<AttemptPlan, "headers">;
  readonly #codec: RequestCodec;
  readonly #timer: TimerService;
  readonly #listener: AttemptListener;
  readonly #request: ClientRequest;
  readonly #limits: ResponseLimits;
  #response: IncomingMessage | undefined;
  #isConnected = false;
  #hasEnded = false;
  readonly #incompleteEvent: HeldPart;
  /** Whether the target has sent an event with data. */
  #hasEvent = false;
  #cancelConnectTimer: () => void = () => {};
  readonly #head: ResponseHeadHolding;
  readonly #body: PieceBuffer;
  readonly #pause: ReadPause;

  /**
   * Sends the request. Fails where it can't be encoded, for example for a
   * character that no header may have.
   */
  static start(
    plan: AttemptPlan,
    codec: RequestCodec,
    timer: TimerService,
    listener: AttemptListener,
  ): Result<TargetAttempt, Error> {
    try {
      return ok(new TargetAttempt(plan, codec, timer, listener));
    } catch (cause) {
      return err(cause as Error);
    }
  }

  private constructor(
    plan: AttemptPlan,
    codec: RequestCodec,
    timer: TimerService,
    listener: AttemptListener,
  ) {
    const { headers, ...planAfterwards } = plan;
    this.#plan = planAfterwards;
    this.#codec = codec;
    this.#timer = timer;
    this.#listener = listener;
    this.#limits = new ResponseLimits(plan.maxOutputTokens);
    this.#head = new ResponseHeadHolding(plan.held);
    this.#body = new PieceBuffer(plan.held);
    this.#incompleteEvent = new HeldPart(plan.held);
    this.#pause = new ReadPause(plan, timer);
    this.#request = this.#send(headers);
  }

  /** Whether the request may have reached the target. */
  get isSent(): boolean {
    return this.#isConnected;
  }

  /** Whether the whole request was given to the kernel. */
  get isBodySent(): boolean {
    return this.#isConnected && this.#request.writableFinished;
  }

  /** Closes the connection to cancel the work; does not call `onEnd`. */
  abort(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#cancelConnectTimer();
    this.#pause.end();
    this.#head.release();
    this.#body.clear();
    this.#request.destroy();
  }

  /** Whether a slow client has kept the target from sending for long. */
  get wasLeftUnread(): boolean {
    return this.#pause.wasLong;
  }

  /** Pauses or resumes reading; applies backpressure of slow clients. */
  setPaused(isPaused: boolean): void {
    if (this.#hasEnded) return;
    this.#pause.set(isPaused);
    if (isPaused) this.#response?.pause();
    else this.#response?.resume();
  }

  #send(headers: RawHeaders): ClientRequest {
    const { target, method, path, body } = this.#plan;
    const outgoing = request({
      agent: target.connections,
      host: target.target.host,
      port: target.target.port,
      method,
      path,
      headers: withContentLength(headers, method, body),
      setHost: false,
      maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
    });
    keepAllLines(outgoing);
    outgoing.on("socket", (socket) => this.#onSocket(socket));
    outgoing.on(
      "response",
      this.#contain((response: IncomingMessage) => this.#onResponse(response)),
    );
    observeFailure(outgoing, (cause) => this.#fail(cause));
    for (const piece of bodyPieces(body)) outgoing.write(piece);
    outgoing.end();
    return outgoing;
  }

  #onSocket(socket: Socket): void {
    const onData = (bytes: Buffer) => {
      this.#limits.recordReceived(bytes.length);
      if (!this.#hasEnded) this.#head.onReceived(socket, bytes.length);
      this.#checkLimits();
    };
    socket.on("data", onData);
    this.#request.once("close", () => socket.off("data", onData));
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
    this.#head.onHead(response.rawHeaders);
    if (this.#hasEnded) return;
    const status = response.statusCode ?? 0;
    const headError = findHeadError(status, response.rawHeaders);
    if (headError !== undefined) return this.#fail(headError);
    const decoded = this.#codec.decodeResponse(status, response.rawHeaders);
    if (decoded.isErr()) return this.#fail(decoded.error.message);
    const metadata = decoded.value;
    this.#recordReceived();
    const isNewConnection = !this.#request.reusedSocket;
    if (!isResponseTo(this.#plan.requestId, metadata, isNewConnection)) {
      return this.#fail("answer to another request");
    }
    this.#plan.target.connections.recordIdleTimeout(
      new HeaderLines(response.rawHeaders).list("keep-alive"),
    );
    this.#plan.inFlight.hasResponse = true;
    const delimiter = delimiterOfResponse(response, this.#plan.method);
    const head = { status, metadata, delimiter };
    this.#listener.onFirstByte(head);
    response.on("error", (error) => this.#fail(error.message));
    response.on("aborted", () => this.#fail("answer broken off"));
    if (metadata.wasNotExecuted) {
      this.#discard(response);
      return this.#end({ kind: "refused", status });
    }
    const isGood = isSuccess(status);
    if (isGood) this.#limits.allowBody(readContentLength(response));
    const error = isGood ? findResponseError(metadata) : undefined;
    if (error !== undefined) return this.#fail(error);
    const isStream = this.#plan.isStream && isStreamed(metadata);
    if (isGood && isStream) {
      return this.#relayEvents(response, head);
    }
    this.#bufferBody(response, head);
  }

  #relayEvents(response: IncomingMessage, head: ResponseHead): void {
    const framer = new EventFramer();
    this.#limits.allowStream();
    this.#listener.onStreamHead(head);
    const onData = (chunk: Buffer) => {
      if (this.#hasEnded) return;
      this.#recordReceived();
      this.#limits.recordBody(chunk.length);
      const frames = framer.push(chunk);
      for (const { id } of frames) this.#limits.recordEvent(id);
      this.#incompleteEvent.resize(framer.rest.length);
      if (this.#checkLimits(framer.rest.length)) return;
      const fault = this.#relayFrames(frames);
      if (fault) this.#fail(fault);
    };
    const onEnd = () => {
      if (this.#hasEnded) return;
      const { delimiter } = head;
      const error = findStreamEndError({
        isReceived: response.complete,
        hasIncompleteEvent: framer.hasIncompleteEvent,
        hasEvent: this.#hasEvent,
        delimiter,
      });
      if (error !== undefined) return this.#fail(error);
      if (framer.rest.length > 0) {
        this.#listener.onEvents(Buffer.from(framer.rest));
      }
      this.#end({ kind: "streamed", delimiter });
    };
    response.on("data", this.#contain(onData));
    response.on("end", this.#contain(onEnd));
  }

  /** Relays events up to the first one that is not the next. */
  #relayFrames(frames: readonly EventFrame[]): EventFault | undefined {
    const { events, inFlight } = this.#plan;
    const relayed: Uint8Array[] = [];
    let fault: EventFault | undefined;
    for (const frame of frames) {
      fault = events.record(frame);
      if (fault) break;
      if (frame.hasData) this.#hasEvent = true;
      relayed.push(frame.bytes);
    }
    if (relayed.length === 0) return fault;
    inFlight.unreadTokens = 0;
    inFlight.eventsReceived += relayed.length;
    this.#listener.onEvents(Buffer.concat(relayed));
    return fault;
  }

  #bufferBody(response: IncomingMessage, head: ResponseHead): void {
    let isRelayed = false;
    const contentLength = response.headers["content-length"];
    const isEvents = isEventStream(head.metadata);
    const onData = (chunk: Buffer) => {
      if (this.#hasEnded) return;
      this.#recordReceived();
      this.#limits.recordBody(chunk.length);
      if (this.#checkLimits()) return;
      this.#body.append(chunk);
      if (!isRelayed && (isEvents || !this.#mustRelay(head))) return;
      if (!isRelayed) this.#listener.onStreamHead({ ...head, contentLength });
      isRelayed = true;
      this.#relayBody();
    };
    const onEnd = () => {
      if (this.#hasEnded) return;
      if (!response.complete) return this.#fail("answer broken off");
      const { status, metadata, delimiter } = head;
      if (isRelayed) return this.#end({ kind: "streamed", delimiter });
      const body = this.#body;
      if (isEvents && endsInsideEvent(body)) {
        return this.#fail("stream ended inside an event");
      }
      const buffered: BufferedResponse = {
        status,
        metadata,
        contentLength,
        delimiter,
        body,
      };
      if (isServerError(buffered)) {
        observeClose(
          this.#request.socket,
          this.#timer,
          () => this.#listener.onClosedAfterFailure(),
        );
      }
      this.#end({ kind: "whole", response: buffered });
    };
    response.on("data", this.#contain(onData));
    response.on("end", this.#contain(onEnd));
  }

  /**
   * Whether to relay the rest of a body as it arrives, at the cost of a second
   * attempt, so that the target waits for a slow client and not the memory.
   */
  #mustRelay({ status }: ResponseHead): boolean {
    if (this.#plan.isStream || !isSuccess(status)) return false;
    return this.#body.length > MAX_BUFFERED_IF_SCARCE_BYTES &&
      this.#plan.held.isScarce;
  }

  #relayBody(): void {
    const { pieces } = this.#body;
    this.#body.clear();
    for (const piece of pieces) this.#listener.onEvents(piece);
  }

  /** Reads the rest of a rejection, so that its connection can be reused. */
  #discard(response: IncomingMessage): void {
    const cancelTimer = this.#timer.after(
      DISCARD_TIMEOUT_MS,
      () => this.#request.destroy(),
    );
    response.once("close", cancelTimer);
    response.on("data", (chunk: Buffer) => {
      this.#limits.recordBody(chunk.length);
      this.#checkLimits();
    });
  }

  /** Closes the connection if the response exceeds a limit. */
  #checkLimits(incompleteEventBytes = 0): boolean {
    const excess = this.#limits.findExcess(incompleteEventBytes);
    if (excess === undefined) return false;
    this.#fail(excess);
    this.#request.destroy();
    return true;
  }

  #recordReceived(): void {
    this.#plan.inFlight.lastByteAtMs = this.#timer.nowMs();
  }

  /**
   * Limits an exception in a handler of an event to this request. Node.js would
   * end the process, and with it all other requests.
   */
  #contain<Args extends unknown[]>(
    handle: (...args: Args) => void,
  ): (...args: Args) => void {
    return (...args) => {
      try {
        handle(...args);
      } catch (cause) {
        this.abort();
        this.#listener.onFault(cause as Error);
      }
    };
  }

  /** Ends the attempt without a usable response and closes its connection. */
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
    this.#pause.end();
    this.#head.release();
    if (end.kind !== "whole") this.#body.clear();
    this.#incompleteEvent.resize(0);
    this.#listener.onEnd(end);
  }
}
