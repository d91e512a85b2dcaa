import type { Outcome } from "@coltsfootford/core";

/** The error that a client receives instead of a target's response. */
export interface RequestError {
  readonly status: number;
  /** Machine-readable code in snake case, as OpenAI clients expect. */
  readonly code: string;
  /** One sentence that names the field and a remedy. */
  readonly message: string;
  /** The invalid header or body field. */
  readonly param?: string | undefined;
  readonly outcome: Outcome;
  /** Time after which a retry may succeed, if a retry makes sense. */
  readonly retryAfterMs?: number | undefined;
  /** Whether the connection is closed, because the body is not read further. */
  readonly closesConnection?: boolean | undefined;
}

/** The optional properties of a request error. */
export type RequestErrorOptions = Partial<
  Pick<RequestError, "param" | "outcome" | "retryAfterMs" | "closesConnection">
>;

/** Creates a request error; its outcome defaults to `not-run`. */
export function createRequestError(
  status: number,
  code: string,
  message: string,
  options: RequestErrorOptions = {},
): RequestError {
  return { status, code, message, outcome: "not-run", ...options };
}

/** The JSON body of an error in the format of the OpenAI API. */
export function renderErrorBody(error: RequestError): string {
  return JSON.stringify({
    error: {
      message: error.message,
      type: error.status < 500 ? "invalid_request_error" : "server_error",
      code: error.code,
      param: error.param ?? null,
      outcome: error.outcome,
    },
  });
}
