import type { ServerResponse } from "node:http";
import type { TimerService } from "@coltsfootford/core";

/** Aborts a request when its client disconnects or its deadline passes. */
export interface ClientSignal {
  readonly signal: AbortSignal;
  /** Aborts the request for another reason. */
  abort(): void;
  /** Cancels the timer and the listener; call it when the request ends. */
  dispose(): void;
}

/**
 * Creates a signal that aborts after `deadlineMs` and, if `abortsOnDisconnect`,
 * when the client disconnects before the response is complete.
 */
export function createClientSignal(
  outgoing: ServerResponse,
  timer: TimerService,
  deadlineMs: number,
  abortsOnDisconnect = true,
): ClientSignal {
  const controller = new AbortController();
  const abort = () => controller.abort();
  const onClose = () => {
    if (abortsOnDisconnect && !outgoing.writableFinished) abort();
  };
  outgoing.once("close", onClose);
  const cancelTimer = timer.after(deadlineMs, abort);
  return {
    signal: controller.signal,
    abort,
    dispose: () => {
      cancelTimer();
      outgoing.off("close", onClose);
    },
  };
}
