import {
  type BodyDelimiter,
  findBodyDelimiter,
  isOwnRejection,
  type RecordedResponse,
  type Route,
} from "@coltsfootford/core";
import type { Dispatcher } from "undici";
import { REQUEST_ID_HEADER, TARGET_RAN_HEADER } from "../targets/index.ts";
import type { RequestContext } from "./request_context.ts";

/** The result of one attempt at a target. */
export type AttemptResult =
  /** The complete response was relayed to the client. */
  | { readonly kind: "answered" }
  /** No byte of the request reached the target. */
  | { readonly kind: "not-sent"; readonly message: string }
  /** The target reported that it did not execute the request. */
  | { readonly kind: "refused"; readonly message: string }
  /** The target may have executed the request; nothing was relayed. */
  | {
    readonly kind: "unknown";
    readonly message: string;
    readonly isClientSlow?: boolean;
  }
  /** The response broke off after a part of it was relayed. */
  | {
    readonly kind: "cut";
    readonly message: string;
    /** Whether the target may have aborted a response that was not read. */
    readonly isClientSlow?: boolean;
  };

/** A relayed response, to be recorded for an idempotency key if it is whole. */
export interface RelayedResponse {
  /** Whether the target proved that the body is complete. */
  readonly isProvenComplete: boolean;
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Relays the responses to one request to its client, over several attempts. */
export abstract class ResponseRelay {
  /** Whether a part of the response was relayed. */
  abstract get hasRelayedPart(): boolean;

  /** Tokens that were relayed over all attempts. */
  abstract get relayedTokens(): number;

  /** Whether another target can resume the response where it broke off. */
  abstract canResume(): boolean;

  /** Headers that request the next target to resume after the relayed part. */
  abstract resumeHeaders(): Readonly<Record<string, string>>;

  /** Relays one response and resolves with the result of the attempt. */
  abstract relay(
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): Promise<AttemptResult>;

  /** The relayed response, or undefined if the relay does not buffer it. */
  abstract relayedResponse(): RelayedResponse | undefined;

  /** Sends the recorded response of an earlier call to the client. */
  abstract replay(recorded: RecordedResponse): void;
}

/** Whether the target rejected the request without executing it. */
export function isRejectedByTarget(response: Dispatcher.ResponseData): boolean {
  return response.headers[TARGET_RAN_HEADER] === "no";
}

/** Whether the response belongs to another request, or may do so. */
export function isForeignResponse(
  response: Dispatcher.ResponseData,
  { requestId, route }: RequestContext,
): boolean {
  const responseId = response.headers[REQUEST_ID_HEADER]?.toString();
  if (isRejectedByTarget(response)) {
    const isNewConnection = usesNewConnection(route);
    return !isOwnRejection({ responseId, requestId, isNewConnection });
  }
  return responseId !== undefined && responseId !== requestId;
}

/** Whether requests of the route are sent on a connection of their own. */
export function usesNewConnection({ idempotent }: Route): boolean {
  return !idempotent;
}

/** What marks the end of the response's body. */
export function delimiterOf(
  { statusCode, headers }: Dispatcher.ResponseData,
  method: string,
): BodyDelimiter {
  return findBodyDelimiter({
    method,
    status: statusCode,
    transferEncoding: headers["transfer-encoding"]?.toString(),
    contentLength: headers["content-length"]?.toString(),
  });
}

/** Discards a response that is not relayed, and closes its connection. */
export function discardBody(response: Dispatcher.ResponseData): void {
  response.body.on("error", () => undefined);
  response.body.destroy();
}
