import type { BodyDelimiter } from "@coltsfootford/core";
import type { ResponseMetadata } from "./request_codec.ts";

/** A complete response. */
export interface BufferedResponse {
  readonly status: number;
  readonly metadata: ResponseMetadata;
  readonly contentLength: string | undefined;
  readonly delimiter: BodyDelimiter;
  readonly body: Buffer;
}

/**
 * How an attempt ended. `unsent`: no byte was written. `refused`: the target
 * states that it did not execute the request. `broken`: the request may have
 * been executed, and no usable response arrived. `whole`: the complete response
 * is buffered. `streamed`: the stream ended between two events, and all of them
 * were relayed; `delimiter` tells whether that proves the stream complete.
 */
export type AttemptEnd =
  | { readonly kind: "unsent"; readonly cause: string }
  | { readonly kind: "refused"; readonly status: number }
  | { readonly kind: "broken"; readonly cause: string }
  | { readonly kind: "whole"; readonly response: BufferedResponse }
  | { readonly kind: "streamed"; readonly delimiter: BodyDelimiter };

/** The head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly metadata: ResponseMetadata;
  readonly delimiter: BodyDelimiter;
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  /** The head of a streamed response has arrived. */
  onStreamHead(head: ResponseHead): void;
  /** The next events of a stream have arrived, complete and in order. */
  onEvents(bytes: Buffer): void;
  /** The head of the target's response has arrived. */
  onFirstByte(head: ResponseHead): void;
  onEnd(end: AttemptEnd): void;
  /** The connection has closed shortly after a failure that arrived whole. */
  onClosedAfterFailure(): void;
  /** Handling the response has failed unexpectedly; `onEnd` may not follow. */
  onFault(error: Error): void;
}
