import type { ServerResponse } from "node:http";
import type { RecordedAnswer } from "@coltsfootford/core";
import type { Readable } from "node:stream";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import type { Dispatcher } from "undici";
import {
  AnswerRelay,
  type AttemptResult,
  discardBody,
  isForeignAnswer,
  isRefusedByTarget,
} from "./answer_relay.ts";
import { type ChunkCheck, ChunkSequence } from "./chunk_sequence.ts";
import type { RequestContext } from "./request_context.ts";
import { WholeRelay } from "./whole_relay.ts";

const STATUS_OK = 200;
const DONE = "[DONE]";
const WHOLE_END = ": outcome=completed\n\ndata: [DONE]\n\n";

/**
 * Passes server-sent events on as they arrive. The end marker is written only
 * when the target's answer was whole, so a cut stream never looks whole.
 */
export class StreamRelay extends AnswerRelay {
  readonly #outgoing: ServerResponse;
  readonly #sequence: ChunkSequence;
  readonly #onFirstToken: () => void;

  constructor(
    outgoing: ServerResponse,
    requestId: string,
    onFirstToken: () => void,
  ) {
    super();
    this.#outgoing = outgoing;
    this.#sequence = new ChunkSequence(requestId);
    this.#onFirstToken = onFirstToken;
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
    const isForeign = isForeignAnswer(response, context.requestId);
    if (isForeign || isRefusedByTarget(response)) {
      discardBody(response);
      return Promise.resolve(this.#failed("the answer names another request"));
    }
    return this.#relayEvents(response);
  }

  override relayedAnswer(): undefined {
    return undefined;
  }

  override replay(answer: RecordedAnswer): void {
    new WholeRelay(this.#outgoing).replay(answer);
  }

  /** An error of the target is passed on whole, unless a part was streamed. */
  #relayError(
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): Promise<AttemptResult> {
    if (!this.#outgoing.headersSent) {
      return new WholeRelay(this.#outgoing).relay(response, context);
    }
    discardBody(response);
    const status = response.statusCode;
    return Promise.resolve(this.#failed(`the target said status ${status}`));
  }

  /** Resolves at the end of the answer; what follows it is dropped. */
  #relayEvents(response: Dispatcher.ResponseData): Promise<AttemptResult> {
    const { body } = response;
    const events: EventSourceMessage[] = [];
    const parser = createParser({ onEvent: (event) => events.push(event) });
    const decoder = new TextDecoder();
    return new Promise((resolve) => {
      let isEnded = false;
      const end = (result: AttemptResult) => {
        if (isEnded) return;
        isEnded = true;
        resolve(result);
      };
      body.on("data", (chunk: Uint8Array) => {
        if (isEnded) return;
        parser.feed(decoder.decode(chunk, { stream: true }));
        const result = this.#passOn(events.splice(0), body);
        if (!result) return;
        // A whole answer leaves its connection open for the next request.
        if (result.kind !== "answered") discardBody(response);
        end(result);
      });
      body.on("error", () => end(this.#failed("the stream broke off")));
      body.on("end", () => {
        end(this.#failed("the stream ended before its end marker"));
      });
    });
  }

  /** Writes events to the caller; the result is set once the answer ended. */
  #passOn(
    events: readonly EventSourceMessage[],
    body: Readable,
  ): AttemptResult | undefined {
    let text = "";
    let fault: string | undefined;
    let isWhole = false;
    for (const event of events) {
      const check: ChunkCheck = event.data === DONE
        ? this.#sequence.checkEnd()
        : this.#sequence.check(event);
      if (check === "repeated") continue;
      if (check === "foreign") fault = "a chunk is not its own";
      if (check === "gap") fault = "the stream has a gap";
      isWhole = check === "whole";
      if (fault !== undefined || isWhole) break;
      text += `data: ${event.data}\n\n`;
    }
    if (isWhole) text += WHOLE_END;
    // What was passed on decides what a fault means, so it is written first.
    if (text !== "") this.#write(text, body);
    if (fault !== undefined) return this.#failed(fault);
    if (!isWhole) return undefined;
    this.#outgoing.end();
    return { kind: "answered" };
  }

  /** Writes to the caller and holds the target back where the caller is slow. */
  #write(text: string, body: Readable): void {
    if (!this.#outgoing.headersSent) {
      this.#outgoing.writeHead(STATUS_OK, {
        "content-type": "text/event-stream; charset=utf-8",
        "cache-control": "no-cache",
      });
      this.#onFirstToken();
    }
    const hasRoom = this.#outgoing.write(text);
    if (hasRoom) return;
    body.pause();
    this.#outgoing.once("drain", () => body.resume());
  }

  #failed(message: string): AttemptResult {
    if (this.#outgoing.headersSent) return { kind: "cut", message };
    return { kind: "unknown", message };
  }
}
