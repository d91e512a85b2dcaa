/** The error of Node.js for a request whose head or body is late. */
export const REQUEST_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";

/** The error of the HTTP parser for a head that is too long. */
const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";

/** Status lines for errors of the HTTP parser of Node.js. */
const ERROR_STATUSES: ReadonlyMap<string | undefined, string> = new Map([
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
  [HEADER_OVERFLOW, "431 Request Header Fields Too Large"],
  [REQUEST_TIMEOUT, "408 Request Timeout"],
]);

/** The status of the response to bytes that are no request. */
export function statusOfError({ code }: NodeJS.ErrnoException): string {
  return ERROR_STATUSES.get(code) ?? "400 Bad Request";
}

/** The error for a head that is longer than any that is served. */
export function createHeadOverflow(): NodeJS.ErrnoException {
  return Object.assign(new Error("head too long"), { code: HEADER_OVERFLOW });
}
