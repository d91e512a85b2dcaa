import type { ServerResponse } from "node:http";
import type { TimerService } from "@coltsfootford/core";

/**
 * Time between the last bytes of a truncated response and the reset of its
 * connection. A client that reads both at once may take the reset for an end.
 */
export const RESET_DELAY_MS = 50;

/**
 * Whether the client may take the end of the connection for the end of this
 * response, if the connection is closed now and what is buffered is lost. This
 * holds for each unfinished response without chunks; one with a length loses
 * nothing by a reset.
 */
export function isTruncatedByClose(response: ServerResponse): boolean {
  return response.headersSent && !response.writableFinished &&
    !response.chunkedEncoding;
}

/**
 * Whether the client may take the end of the connection for the end of this
 * response, if the connection is ended now and what is buffered still arrives.
 */
export function isTruncatedByEnd(response: ServerResponse): boolean {
  return isTruncatedByClose(response) && !response.writableEnded;
}

/**
 * Ends the connection of an incomplete response in a way that no client takes
 * for the end of the response: without a last chunk, or by a reset.
 */
export function abortResponse(
  response: ServerResponse,
  timer: TimerService,
): void {
  const { socket } = response;
  if (!socket || !isTruncatedByClose(response)) {
    response.destroy();
    return;
  }
  timer.after(RESET_DELAY_MS, () => socket.resetAndDestroy());
}
