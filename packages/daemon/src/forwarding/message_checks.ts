import {
  type IncomingMessage,
  validateHeaderName,
  validateHeaderValue,
} from "node:http";
import {
  type BodyDelimiter,
  EventFramer,
  findBodyDelimiter,
  isOwnRejection,
  provesCompleteBody,
} from "@coltsfootford/core";
import { type BodyBytes, bodyPieces } from "../buffering/index.ts";
import { HeaderLines } from "./http_headers.ts";
import type { RawHeaders, ResponseMetadata } from "./request_codec.ts";

/** The statuses with three digits that are not of an interim response. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;
const STATUS_OK = 200;
const STATUS_MULTIPLE_CHOICES = 300;

/** Lines that decide how a body is read. */
const SINGLE_HEADERS = ["content-length", "transfer-encoding", "content-type"];

/**
 * Returns why a head is no HTTP response. The parser accepts heads that the
 * server refuses to write with an exception, and heads that a second response
 * has been run into.
 */
export function findHeadError(
  status: number,
  headers: RawHeaders,
): string | undefined {
  if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
    return `answer with status ${status}`;
  }
  try {
    for (let index = 0; index < headers.length; index += 2) {
      validateHeaderName(headers[index]!);
      validateHeaderValue(headers[index]!, headers[index + 1]!);
    }
  } catch (cause) {
    return `answer with a malformed header: ${(cause as Error).message}`;
  }
  const repeated = new HeaderLines(headers).findRepeated(SINGLE_HEADERS);
  if (repeated === undefined) return undefined;
  return `answer with several lines ${repeated}`;
}

/**
 * Returns why a successful response can't be the target's own complete
 * response: it has no signature, or an encoding that was not requested.
 */
export function findResponseError(
  metadata: ResponseMetadata,
): string | undefined {
  if (!metadata.isSigned) return "answer without a signature";
  const encoding = new HeaderLines(metadata.headers).list("content-encoding");
  if (encoding !== undefined && encoding !== "identity") {
    return "answer with an encoding that was not asked for";
  }
  return undefined;
}

/**
 * Whether the response belongs to this request. A response to an earlier
 * request can arrive late on the same connection.
 */
export function isResponseTo(
  requestId: string,
  { requestId: responseId, wasNotExecuted }: ResponseMetadata,
  isNewConnection: boolean,
): boolean {
  if (!wasNotExecuted) return responseId === requestId;
  return isOwnRejection({ responseId, requestId, isNewConnection });
}

/** Whether the status is one of success (RFC 9110, section 15.3). */
export function isSuccess(status: number): boolean {
  return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
}

/** What marks the end of the response to a request with this method. */
export function delimiterOfResponse(
  { statusCode = 0, headers }: IncomingMessage,
  method: string,
): BodyDelimiter {
  return findBodyDelimiter({
    method,
    status: statusCode,
    transferEncoding: headers["transfer-encoding"],
    contentLength: headers["content-length"],
  });
}

/** How a stream of events has ended. */
export interface StreamEnd {
  /** Whether the body is complete by its framing; `false` after a reset. */
  readonly isReceived: boolean;
  /** Whether the end is inside an event. */
  readonly hasIncompleteEvent: boolean;
  /** Whether the run has sent an event with data. */
  readonly hasEvent: boolean;
  readonly delimiter: BodyDelimiter;
}

/**
 * Returns why the end of a stream is not that of a complete one. The close of
 * the connection ends a stream without a length or chunks, but only after an
 * event: a target that closes right after its head has sent nothing.
 */
export function findStreamEndError(
  { isReceived, hasIncompleteEvent, hasEvent, delimiter }: StreamEnd,
): string | undefined {
  if (!isReceived) return "stream broken off";
  if (hasIncompleteEvent) return "stream ended inside an event";
  if (hasEvent || provesCompleteBody(delimiter)) return undefined;
  return "stream ended with its connection, without an event";
}

/** Whether a route for streams gets one; the content type may be missing. */
export function isStreamed({ headers }: ResponseMetadata): boolean {
  const type = new HeaderLines(headers).single("content-type");
  return type === undefined || isEventStreamType(type);
}

/** Whether the content type is that of server-sent events. */
export function isEventStream({ headers }: ResponseMetadata): boolean {
  const type = new HeaderLines(headers).single("content-type");
  return type !== undefined && isEventStreamType(type);
}

function isEventStreamType(contentType: string): boolean {
  const [type = ""] = contentType.split(";", 1);
  return type.trim().toLowerCase() === "text/event-stream";
}

/** Whether a body of events ends before its last event does. */
export function endsInsideEvent(body: BodyBytes): boolean {
  const framer = new EventFramer();
  for (const piece of bodyPieces(body)) framer.push(piece);
  return framer.hasIncompleteEvent;
}

/** The length of the body that the head states, in bytes. */
export function readContentLength(
  { headers }: IncomingMessage,
): number | undefined {
  const length = headers["content-length"];
  return length === undefined ? undefined : Number(length);
}

const BODILESS_METHODS = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

/** Adds the length of a request's body, where it may have one. */
export function withContentLength(
  headers: RawHeaders,
  method: string,
  body: BodyBytes,
): string[] {
  if (body.length === 0 && BODILESS_METHODS.has(method)) return [...headers];
  return [...headers, "Content-Length", String(body.length)];
}
