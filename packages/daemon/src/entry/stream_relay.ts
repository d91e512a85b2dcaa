import type { ServerResponse } from "node:http";
import type { RecordedResponse, TimerService } from "@coltsfootford/core";
import type { Readable } from "node:stream";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Dispatcher } from "undici";
import {
  type AttemptResult,
  discardBody,
  isForeignResponse,
  isRejectedByTarget,
  ResponseRelay,
} from "./response_relay.ts";
import { type ChunkCheck, ChunkSequence } from "./chunk_sequence.ts";
import type { RequestContext } from "./request_context.ts";
import { BufferedRelay } from "./buffered_relay.ts";
import { ClientOutput } from "./client_output.ts";
import { HeldPart } from "../buffering/index.ts";
import type { RequestMemory } from "./request_memory.ts";
import { UnreadTime } from "./unread_time.ts";

/** An attempt whose stream did not end as a complete one. */
type StreamFailure = Extract<AttemptResult, { kind: "cut" | "unknown" }>;

const STATUS_OK = 200;
const DONE = "[DONE]";
/** Bytes after a complete stream for which its connection stays open. */
const MAX_BYTES_AFTER_END = 64 * 1024;
/** Largest incomplete event of a stream. */
const MAX_EVENT_BYTES = 256 * 1024;
const COMPLETED_TRAILER = ": outcome=completed\n\ndata: [DONE]\n\n";

/**
 * Relays server-sent events as they arrive. The end marker is written only after
 * a complete response of the target, so a client can always detect a stream that
 * broke off.
 */
export class StreamRelay extends ResponseRelay {
  readonly #outgoing: ServerResponse;
  readonly #timer: TimerService;
  readonly #memory: RequestMemory;
  readonly #sequence: ChunkSequence;
  readonly #onFirstToken: () => void;
  #output: ClientOutput | undefined;

  constructor(
    outgoing: ServerResponse,
    timer: TimerService,
    memory: RequestMemory,
    onFirstToken: () => void,
  ) {
    super();
    this.#outgoing = outgoing;
    this.#timer = timer;
    this.#memory = memory;
    this.#sequence = new ChunkSequence(memory.requestId);
    this.#onFirstToken = onFirstToken;
  }

  override get hasRelayedPart(): boolean {
    return this.#outgoing.headersSent;
  }

  override get relayedTokens(): number {
    return this.#sequence.relayedTokens;
  }

  override canResume(): boolean {
    return this.#sequence.isResumable;
  }

  override resumeHeaders(): Readonly<Record<string, string>> {
    const tokens = this.#sequence.relayedTokens;
    if (tokens === 0) return {};
    return { "x-coltsfoot-resume-after-tokens": String(tokens) };
  }

  override relay(
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): Promise<AttemptResult> {
    if (response.statusCode !== STATUS_OK) {
      return this.#relayError(response, context);
    }
    const isForeign = isForeignResponse(response, context);
    if (isForeign || isRejectedByTarget(response)) {
      discardBody(response);
      return Promise.resolve(
        this.#createFailure("the answer names another request"),
      );
    }
    return this.#relayEvents(response);
  }

  override relayedResponse(): undefined {
    return undefined;
  }

  override replay(recorded: RecordedResponse): void {
    this.#createBuffered().replay(recorded);
  }

  /** Relays an error response of the target, unless a part was streamed. */
  #relayError(
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): Promise<AttemptResult> {
    if (!this.#outgoing.headersSent) {
      return this.#createBuffered().relay(response, context);
    }
    discardBody(response);
    const status = response.statusCode;
    return Promise.resolve(
      this.#createFailure(`the target said status ${status}`),
    );
  }

  /** Relays events until the response ends; later data is ignored. */
  #relayEvents(response: Dispatcher.ResponseData): Promise<AttemptResult> {
    const { body } = response;
    const events: EventSourceMessage[] = [];
    const parser = createParser({ onEvent: (event) => events.push(event) });
    const decoder = new TextDecoder();
    const unread = new UnreadTime(this.#timer);
    return new Promise((resolve) => {
      let isSettled = false;
      let bytesAfterEnd = 0;
      let incompleteBytes = 0;
      const held = this.#memory.openResponse();
      const incompleteEvent = new HeldPart(held.held);
      const settle = (result: AttemptResult) => {
        if (isSettled) return;
        isSettled = true;
        held.release();
        resolve(result);
      };
      body.on("data", (chunk: Uint8Array) => {
        if (isSettled) {
          bytesAfterEnd += chunk.length;
          if (bytesAfterEnd > MAX_BYTES_AFTER_END) discardBody(response);
          return;
        }
        parser.feed(decoder.decode(chunk, { stream: true }));
        incompleteBytes = events.length > 0
          ? 0
          : incompleteBytes + chunk.length;
        incompleteEvent.resize(incompleteBytes);
        const result = incompleteBytes > MAX_EVENT_BYTES
          ? this.#createFailure("an event is too large")
          : this.#forwardEvents(events.splice(0), body, unread);
        if (!result) return;
        // After a complete response, the connection stays open for reuse.
        if (result.kind !== "answered") discardBody(response);
        settle(result);
      });
      body.on("error", () => {
        const failure = this.#createFailure("the stream broke off");
        settle({ ...failure, isClientSlow: unread.isLong });
      });
      body.on("end", () => {
        settle(this.#createFailure("the stream ended before its end marker"));
      });
    });
  }

  /** Writes events to the client; returns a result once the response ended. */
  #forwardEvents(
    events: readonly EventSourceMessage[],
    body: Readable,
    unread: UnreadTime,
  ): AttemptResult | undefined {
    let text = "";
    let failure: string | undefined;
    let isComplete = false;
    for (const event of events) {
      const check: ChunkCheck = event.data === DONE
        ? this.#sequence.checkEnd()
        : this.#sequence.check(event);
      if (check === "repeated") continue;
      if (check === "foreign") failure = "a chunk is not its own";
      if (check === "gap") failure = "the stream has a gap";
      isComplete = check === "whole";
      if (failure !== undefined || isComplete) break;
      text += `data: ${event.data}\n\n`;
    }
    if (isComplete) text += COMPLETED_TRAILER;
    // Write the valid events first: whether anything was relayed decides if the
    // failure counts as `cut` or `unknown`.
    if (text !== "") this.#write(text, body, unread);
    if (failure !== undefined) return this.#createFailure(failure);
    if (!isComplete) return undefined;
    this.#output?.end();
    return { kind: "answered" };
  }

  /** Writes to the client and pauses reading from the target while it is slow. */
  #write(text: string, body: Readable, unread: UnreadTime): void {
    if (!this.#outgoing.headersSent) {
      this.#outgoing.writeHead(STATUS_OK, {
        "content-type": "text/event-stream; charset=utf-8",
        "cache-control": "no-cache",
      });
      this.#onFirstToken();
    }
    this.#output ??= new ClientOutput(
      this.#outgoing,
      this.#timer,
      this.#memory,
    );
    const canWriteMore = this.#output.write(Buffer.from(text));
    if (canWriteMore) return;
    body.pause();
    unread.pause();
    this.#output.onDrain(() => {
      unread.resume();
      body.resume();
    });
  }

  #createBuffered(): BufferedRelay {
    return new BufferedRelay(this.#outgoing, this.#timer, this.#memory);
  }

  #createFailure(message: string): StreamFailure {
    if (this.#outgoing.headersSent) return { kind: "cut", message };
    return { kind: "unknown", message };
  }
}
