import type { ServerResponse } from "node:http";
import type { TimerService } from "@coltsfootford/core";

/** The end of a request by its caller or by its deadline. */
export interface ClientSignal {
  readonly signal: AbortSignal;
  /** Ends the subscriptions once the request has ended. */
  dispose(): void;
}

/** Aborts when the deadline passes or, if so asked, the caller hangs up. */
export function createClientSignal(
  outgoing: ServerResponse,
  timer: TimerService,
  deadlineMs: number,
  endsWithCaller = true,
): ClientSignal {
  const controller = new AbortController();
  const abort = () => controller.abort();
  const onClose = () => {
    if (endsWithCaller && !outgoing.writableFinished) abort();
  };
  outgoing.once("close", onClose);
  const cancelTimer = timer.after(deadlineMs, abort);
  return {
    signal: controller.signal,
    dispose: () => {
      cancelTimer();
      outgoing.off("close", onClose);
    },
  };
}
