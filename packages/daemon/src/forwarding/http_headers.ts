import type { RawHeaders } from "./request_codec.ts";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), framing headers and `Expect`. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "te",
  "trailer",
  "upgrade",
  "content-length",
  "expect",
]);

/** The first value of a header, by its name in lower case. */
export function findHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/**
 * Returns the headers without hop-by-hop headers, framing headers, `Expect`,
 * those that `Connection` lists, and those in `dropped`. Headers in `kept` stay
 * even if `Connection` lists them, so that a client can't remove headers that
 * the request needs.
 */
export function forwardableHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
  kept: ReadonlySet<string>,
): string[] {
  const connectionOptions = listedByConnection(headers);
  const forwarded: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name) || dropped.has(name)) continue;
    if (connectionOptions.has(name) && !kept.has(name)) continue;
    forwarded.push(headers[index]!, headers[index + 1]!);
  }
  return forwarded;
}

/** Size of the header lines in bytes, separators included. */
export function headerBytes(headers: RawHeaders): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}

function listedByConnection(headers: RawHeaders): Set<string> {
  const listed = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== "connection") continue;
    for (const name of headers[index + 1]!.split(",")) {
      listed.add(name.trim().toLowerCase());
    }
  }
  return listed;
}
