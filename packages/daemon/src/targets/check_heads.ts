import type { Dispatcher } from "undici";

/** The header that carries the request id to targets and back. */
export const REQUEST_ID_HEADER = "x-request-id";

/** With value `no`: the target rejected the request without executing it. */
export const TARGET_RAN_HEADER = "x-target-ran";

/** Lines that identify or frame a response, or tell whether its request ran. */
const SINGLE_HEADERS = [
  REQUEST_ID_HEADER,
  TARGET_RAN_HEADER,
  "content-length",
  "content-type",
  "transfer-encoding",
];
const FIRST_ERROR_STATUS = 400;

type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Fails each response whose head contradicts itself, and closes its connection:
 * a second response may have been run into it, so it identifies none.
 */
export const checkHeads: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onResponseStart: (...args) => {
        const [, status, headers] = args;
        const contradiction = findContradiction(status, headers);
        if (contradiction !== undefined) throw new Error(contradiction);
        handler.onResponseStart?.(...args);
      },
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    });

/** Returns in what a head contradicts itself, if it does. */
function findContradiction(
  status: number,
  headers: ResponseHeaders,
): string | undefined {
  const repeated = SINGLE_HEADERS.find((name) => Array.isArray(headers[name]));
  if (repeated !== undefined) return `response with several lines ${repeated}`;
  const deniesRun = headers[TARGET_RAN_HEADER] === "no";
  if (deniesRun && status < FIRST_ERROR_STATUS) {
    return `response with status ${status} that denies the run`;
  }
  return undefined;
}
