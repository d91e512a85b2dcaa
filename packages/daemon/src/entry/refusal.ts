import type { Outcome } from "@coltsfootford/core";

/** Why a request gets an error instead of a target's answer. */
export interface Refusal {
  readonly status: number;
  /** Machine-readable code, in snake case as OpenAI clients expect it. */
  readonly code: string;
  /** One sentence that names the field and the way out. */
  readonly message: string;
  /** The header or body field at fault. */
  readonly param?: string | undefined;
  readonly outcome: Outcome;
  /** When to come back, where that makes sense. */
  readonly retryAfterMs?: number | undefined;
}

/** The parts of a refusal that most callers leave out. */
export type RefusalParts = Partial<
  Pick<Refusal, "param" | "outcome" | "retryAfterMs">
>;

/** Creates a refusal; it is `not-run` unless the parts say otherwise. */
export function createRefusal(
  status: number,
  code: string,
  message: string,
  parts: RefusalParts = {},
): Refusal {
  return { status, code, message, outcome: "not-run", ...parts };
}

/** The body of a refusal in the shape of the OpenAI API. */
export function renderRefusal(refusal: Refusal): string {
  return JSON.stringify({
    error: {
      message: refusal.message,
      type: refusal.status < 500 ? "invalid_request_error" : "server_error",
      code: refusal.code,
      param: refusal.param ?? null,
      outcome: refusal.outcome,
    },
  });
}
