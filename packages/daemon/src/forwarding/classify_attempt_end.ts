import type { AttemptFailure, AttemptOutcome } from "@coltsfootford/core";
import type { ClientResponse } from "./client_response.ts";
import type { AttemptEnd, BufferedResponse } from "./attempt_types.ts";

/** Statuses that guarantee the client that its request was not executed. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);
const FIRST_SERVER_ERROR = 500;
const STATUS_GATEWAY_TIMEOUT = 504;

/** Whether the status is a server error, and no time-out or rejection. */
export function isServerError({ status }: BufferedResponse): boolean {
  return status >= FIRST_SERVER_ERROR &&
    status !== STATUS_GATEWAY_TIMEOUT && !NOT_EXECUTED_STATUSES.has(status);
}

/** Whether the status is a server error or unreliably denies an execution. */
export function isFailureResponse({ status }: BufferedResponse): boolean {
  return status >= FIRST_SERVER_ERROR || NOT_EXECUTED_STATUSES.has(status);
}

/**
 * The end of an attempt as the client may take it. It counts as broken where
 * another response takes the place of the rest of a stream.
 */
export function requireUsableEnd(
  end: AttemptEnd,
  client: ClientResponse,
): AttemptEnd {
  if (end.kind === "whole" && client.hasStarted) {
    const cause = `status ${end.response.status} in place of a stream's rest`;
    return { kind: "broken", cause };
  }
  return end;
}

/** What the end of an attempt says about the target's health. */
export function classifyOutcome(end: AttemptEnd): AttemptOutcome {
  if (end.kind === "streamed") return "good";
  if (end.kind === "refused") return "refused";
  if (end.kind === "broken" && end.cause === "silent") return "silent";
  if (end.kind !== "whole") return "failed";
  return isFailureResponse(end.response) ? "failed" : "good";
}

/** What a failed attempt means for a retry. */
export function classifyFailure(
  end: AttemptEnd,
  hasResponseStarted: boolean,
): AttemptFailure {
  if (end.kind === "unsent") return "not-sent";
  if (end.kind === "refused") return "refused";
  return hasResponseStarted ? "cut" : "maybe-run";
}
