import type { RecordedAnswer } from "@coltsfootford/core";
import type { Dispatcher } from "undici";
import type { RequestContext } from "./request_context.ts";

/** What became of one try at a target. */
export type AttemptResult =
  /** The whole answer was passed on to the caller. */
  | { readonly kind: "answered" }
  /** No byte of the request reached the target. */
  | { readonly kind: "not-sent"; readonly message: string }
  /** The target said that it did not run the request. */
  | { readonly kind: "refused"; readonly message: string }
  /** The target may have run it; nothing was passed on. */
  | { readonly kind: "unknown"; readonly message: string }
  /** The answer broke off after a part of it was passed on. */
  | { readonly kind: "cut"; readonly message: string };

/** The header by which a target says that a refused request was not run. */
export const TARGET_RAN_HEADER = "x-target-ran";

/** The header that names the request towards targets. */
export const REQUEST_ID_HEADER = "x-request-id";

/** An answer that was passed on as a whole, for the record of its call. */
export interface RelayedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

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

  /** The answer that was passed on, where the relay still has it. */
  abstract relayedAnswer(): RelayedAnswer | undefined;

  /** Passes the recorded answer of an earlier call on. */
  abstract replay(answer: RecordedAnswer): void;
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
