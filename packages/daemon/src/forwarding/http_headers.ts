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

/**
 * The lines of a head, by their names in lower case. Lists may stand in several
 * lines (RFC 9110, section 5.3). Where any other header does, its lines may
 * contradict each other, and it counts as absent.
 */
export class HeaderLines {
  readonly #valuesByName = new Map<string, string[]>();

  constructor(headers: RawHeaders) {
    for (let index = 0; index < headers.length; index += 2) {
      const name = headers[index]!.toLowerCase();
      const values = this.#valuesByName.get(name);
      if (values) values.push(headers[index + 1]!);
      else this.#valuesByName.set(name, [headers[index + 1]!]);
    }
  }

  /** The value of the only line of this name; undefined for none or several. */
  single(name: string): string | undefined {
    const values = this.#valuesByName.get(name);
    return values?.length === 1 ? values[0] : undefined;
  }

  /** The lines of this name as one list, in order; undefined for none. */
  list(name: string): string | undefined {
    return this.#valuesByName.get(name)?.join(", ");
  }

  /** The first of these names that stands in several lines. */
  findRepeated(names: Iterable<string>): string | undefined {
    for (const name of names) {
      if ((this.#valuesByName.get(name)?.length ?? 0) > 1) return name;
    }
    return undefined;
  }
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

/** The colon and the line's end; a blank after the colon is optional. */
const MIN_SEPARATOR_BYTES = 3;

/** Size of the header lines in bytes, with the least separators. */
export function headerBytes(headers: RawHeaders): number {
  const lines = headers.length / 2;
  return headers.reduce(
    (sum, text) => sum + text.length,
    lines * MIN_SEPARATOR_BYTES,
  );
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
