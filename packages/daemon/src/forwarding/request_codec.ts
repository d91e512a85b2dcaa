import type { Result } from "neverthrow";
import type {
  PromptDescription,
  ReportedLoad,
  StepError,
} from "@coltsfootford/core";

import type { Address } from "./settings.ts";

/** Alternating header names and values, in the format of Node.js. */
export type RawHeaders = readonly string[];

/** Metadata from the head of a client's request. */
export interface RequestMetadata {
  readonly requestId: string;
  /** The client's timeout; undefined if the request has none. */
  readonly clientTimeoutMs: number | undefined;
  /** The key by which the client authenticates as a member of its team. */
  readonly teamKey: string | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: PromptDescription;
  /** The headers to forward, without those that the daemon sets itself. */
  readonly headers: RawHeaders;
}

/** Metadata that the daemon adds to an attempt. */
export interface AttemptMetadata {
  readonly targetId: string;
  readonly timeLeftMs: number;
  readonly team: string | undefined;
  /** Priority, 0 is the most urgent; undefined if the service has none. */
  readonly rank: number | undefined;
  readonly lastEventId: string | undefined;
  /** A target from which this one fetches missing KV cache. */
  readonly fetchFrom: Address | undefined;
}

/** Metadata from the head of a target's response. */
export interface ResponseMetadata {
  /** The id of the request that the response is for; undefined if absent. */
  readonly requestId: string | undefined;
  /** Whether the target signed the response. */
  readonly isSigned: boolean;
  /** Whether the target states that it did not execute the request. */
  readonly wasNotExecuted: boolean;
  readonly load: ReportedLoad | undefined;
  /**
   * Requests a second that the target takes from all daemons together; undefined
   * where it names no limit.
   */
  readonly limitPerSecond: number | undefined;
  /**
   * Time for which a target that turned the request away wants no more of this
   * daemon; undefined where it states none.
   */
  readonly stayAwayMs: number | undefined;
  /** Time for which the target stays cold; undefined where it states none. */
  readonly coldLeftMs?: number | undefined;
  /** Whether the target states that it leaves. */
  readonly isLeaving: boolean;
  /** The headers to forward to the client. */
  readonly headers: RawHeaders;
}

/** Decodes and encodes the headers of one platform. */
export abstract class RequestCodec {
  /**
   * Decodes the head of a client's request. Fails where a line that is decoded,
   * and that must stand once, stands several times.
   */
  abstract decodeRequest(
    headers: RawHeaders,
  ): Result<RequestMetadata, StepError<"bad-request">>;

  /** Encodes the headers of an attempt, without framing headers. */
  abstract encodeAttempt(
    request: RequestMetadata,
    metadata: AttemptMetadata,
  ): RawHeaders;

  /**
   * Decodes the head of a target's response. Fails where the head contradicts
   * itself, as one does that a second response has been run into: it identifies
   * no response then.
   */
  abstract decodeResponse(
    status: number,
    headers: RawHeaders,
  ): Result<ResponseMetadata, StepError<"ambiguous-response">>;

  /** Encodes the delay after which a rejected client may retry. */
  abstract encodeRetryAfter(afterMs: number): RawHeaders;
}
