import type { Dispatcher } from "undici";
import type { RequestContext } from "./request_context.ts";

/** What became of one try at a target. */
export type AttemptResult =
  /** The whole answer was passed on to the caller. */
  | { readonly kind: "answered" }
  /** The target certainly did not run the request. */
  | { readonly kind: "not-run"; readonly message: string }
  /** The target may have run it; nothing was passed on. */
  | { readonly kind: "unknown"; readonly message: string }
  /** The answer broke off after a part of it was passed on. */
  | { readonly kind: "cut"; readonly message: string };

/** The header by which a target says that a refused request was not run. */
export const TARGET_RAN_HEADER = "x-target-ran";

/** The header that names the request towards targets. */
export const REQUEST_ID_HEADER = "x-request-id";

/** Passes answers of one request on to its caller, over several tries. */
export abstract class AnswerRelay {
  /** Whether another target can go on where a cut answer ended. */
  abstract canResume(): boolean;

  /** Headers that ask the next target to go on after what was relayed. */
  abstract resumeHeaders(): Readonly<Record<string, string>>;

  /** Passes one answer on and tells how it ended. */
  abstract relay(
    response: Dispatcher.ResponseData,
    context: RequestContext,
  ): Promise<AttemptResult>;
}

/** Whether the target says that it refused the request without running it. */
export function isRefusedByTarget(response: Dispatcher.ResponseData): boolean {
  return response.headers[TARGET_RAN_HEADER] === "no";
}

/** Whether the answer names another request than the one that was sent. */
export function isForeignAnswer(
  response: Dispatcher.ResponseData,
  requestId: string,
): boolean {
  const named = response.headers[REQUEST_ID_HEADER];
  return named !== undefined && named !== requestId;
}

/** Drops an answer that is not passed on, and its connection with it. */
export function discardBody(response: Dispatcher.ResponseData): void {
  response.body.on("error", () => undefined);
  response.body.destroy();
}
