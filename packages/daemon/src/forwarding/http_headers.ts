import type { RawHeaders } from "./request_codec.ts";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]!.toLowerCase() === name) return headers[at + 1];
  }
  return undefined;
}

/**
 * Leaves out the headers of one connection, those that `Connection` names, and
 * `dropped`. Headers in `kept` stay even if `Connection` names them, so that a
 * client can't take away what the request stands on.
 */
export function forwardableHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
  kept: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(headers);
  const passed: string[] = [];
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name) || dropped.has(name)) continue;
    if (named.has(name) && !kept.has(name)) continue;
    passed.push(headers[at]!, headers[at + 1]!);
  }
  return passed;
}

/** Bytes that the header lines took. */
export function headerBytes(headers: RawHeaders): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}

function namedByConnection(headers: RawHeaders): Set<string> {
  const named = new Set<string>();
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]!.toLowerCase() !== "connection") continue;
    for (const name of headers[at + 1]!.split(",")) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}
