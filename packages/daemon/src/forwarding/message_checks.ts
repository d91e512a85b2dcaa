import type { IncomingMessage } from "node:http";
import { EventFramer } from "@coltsfootford/core";
import { findHeader } from "./http_headers.ts";
import type { RawHeaders, ResponseMetadata } from "./request_codec.ts";

/**
 * Returns why a successful response can't be the target's own complete
 * response: it has no signature, or an encoding that was not requested.
 */
export function findResponseError(
  metadata: ResponseMetadata,
): string | undefined {
  if (!metadata.isSigned) return "answer without a signature";
  const encoding = findHeader(metadata.headers, "content-encoding");
  if (encoding !== undefined && encoding !== "identity") {
    return "answer with an encoding that was not asked for";
  }
  return undefined;
}

/** Whether a route for streams gets one; the content type may be missing. */
export function isStreamed(metadata: ResponseMetadata): boolean {
  const type = findHeader(metadata.headers, "content-type");
  return type === undefined || isEventStream(metadata);
}

/** Whether the content type is that of server-sent events. */
export function isEventStream({ headers }: ResponseMetadata): boolean {
  const type = findHeader(headers, "content-type")?.split(";", 1)[0];
  return type?.trim().toLowerCase() === "text/event-stream";
}

/** Whether a body of events ends before its last event does. */
export function endsInsideEvent(body: Buffer): boolean {
  const framer = new EventFramer();
  framer.push(body);
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
  body: Buffer,
): string[] {
  if (body.length === 0 && BODILESS_METHODS.has(method)) return [...headers];
  return [...headers, "Content-Length", String(body.length)];
}
