import type {
  BodyDelimiter,
  EventSequence,
  InFlightAttempt,
} from "@coltsfootford/core";
import type { BodyBytes, HeldBytes, PieceBuffer } from "../buffering/index.ts";
import type { RawHeaders, ResponseMetadata } from "./request_codec.ts";
import type { PooledTarget } from "./target_pool.ts";

/** A complete response. */
export interface BufferedResponse {
  readonly status: number;
  readonly metadata: ResponseMetadata;
  readonly contentLength: string | undefined;
  readonly delimiter: BodyDelimiter;
  readonly body: PieceBuffer;
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
  /** The stated length, if the body is relayed unchanged from its start. */
  readonly contentLength?: string | undefined;
}

/** Inputs of an attempt: the request to send, and its target. */
export interface AttemptPlan {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: BodyBytes;
  readonly target: PooledTarget;
  readonly connectTimeoutMs: number;
  readonly isStream: boolean;
  /** Most tokens that the response may have; 0 if unknown. */
  readonly maxOutputTokens: number;
  readonly inFlight: InFlightAttempt;
  /** The events of the response over all attempts. */
  readonly events: EventSequence;
  /** Charged for what is buffered of the response. */
  readonly held: HeldBytes;
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
  /** Handling the response has failed unexpectedly; `onEnd` may not follow. */
  onFault(error: Error): void;
}
