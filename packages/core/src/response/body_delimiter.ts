/**
 * What marks the end of a response's body (RFC 9112, section 6.3): nothing,
 * since there is no body; a length; the last chunk; the close of the connection.
 */
export type BodyDelimiter = "none" | "length" | "chunks" | "close";

/** The parts of a response's head, and of its request, that frame its body. */
export interface BodyFraming {
  readonly method: string;
  readonly status: number;
  /** The value of `Transfer-Encoding`, several lines joined by commas. */
  readonly transferEncoding: string | undefined;
  readonly contentLength: string | undefined;
}

const BODILESS_STATUSES = new Set([204, 304]);

/** What marks the end of the body of a response with this framing. */
export function findBodyDelimiter(
  { method, status, transferEncoding, contentLength }: BodyFraming,
): BodyDelimiter {
  if (method === "HEAD" || BODILESS_STATUSES.has(status)) return "none";
  if (transferEncoding !== undefined) {
    const finalCoding = transferEncoding.split(",").at(-1)!;
    return finalCoding.trim().toLowerCase() === "chunked" ? "chunks" : "close";
  }
  return contentLength === undefined ? "close" : "length";
}

/**
 * Whether a body that was received up to this delimiter is complete. A
 * connection closes in the same way after a complete body and after a part.
 */
export function provesCompleteBody(delimiter: BodyDelimiter): boolean {
  return delimiter !== "close";
}
