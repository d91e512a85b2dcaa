import type { Result } from "neverthrow";
import type {
  PromptDescription,
  ReportedLoad,
  StepError,
} from "@coltsfootford/core";

import type { Address } from "./settings.ts";

/** Header names and values in turn, as Node.js gives and takes them. */
export type RawHeaders = readonly string[];

/** What the head of a request says. */
export interface RequestMetadata {
  readonly requestId: string;
  /** How long the client waits; undefined where it doesn't say. */
  readonly clientTimeoutMs: number | undefined;
  /** The key that the client presents for its team. */
  readonly teamKey: string | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: PromptDescription;
  /** The headers to pass on, without those that the system sets itself. */
  readonly headers: RawHeaders;
}

/** What the system itself tells a target of a try. */
export interface AttemptMetadata {
  readonly targetId: string;
  readonly timeLeftMs: number;
  readonly team: string | undefined;
  /** 0 is the most urgent; undefined for services without ranks. */
  readonly rank: number | undefined;
  readonly lastEventId: string | undefined;
  /** A target from which this one fetches KV cache that it lacks. */
  readonly fetchFrom: Address | undefined;
}

/** What the head of a target's answer says. */
export interface ResponseMetadata {
  /** The request that the answer is for; undefined where it doesn't say. */
  readonly requestId: string | undefined;
  /** Whether the target signed the answer. */
  readonly isSealed: boolean;
  /** Whether the target says that it has not run the request. */
  readonly hasNotRun: boolean;
  readonly load: ReportedLoad | undefined;
  /** The headers to pass on to the client. */
  readonly headers: RawHeaders;
}

/** Reads and writes the headers of one platform. */
export abstract class RequestCodec {
  /** Reads the head of a request from a client. */
  abstract decodeRequest(
    headers: RawHeaders,
  ): Result<RequestMetadata, StepError<"bad-request">>;

  /** The headers of a try at a target, without framing. */
  abstract encodeAttempt(
    request: RequestMetadata,
    facts: AttemptMetadata,
  ): RawHeaders;

  /** Reads the head of a target's answer. */
  abstract decodeAnswer(status: number, headers: RawHeaders): ResponseMetadata;

  /** Headers that tell a refused client when to come back. */
  abstract encodeReturnTime(afterMs: number): RawHeaders;
}
