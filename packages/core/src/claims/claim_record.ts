import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createStepError, type StepError } from "../errors/index.ts";

/**
 * The two values that the platform stores for an idempotency key: the claim,
 * which decides which daemon may execute the call, and the recorded response.
 */

/** Summary of the response to a finished call, without the body. */
export const responseSummarySchema = z.strictObject({
  status: z.int().min(100).max(599),
  /** SHA-256 of the body in hex. */
  bodyDigest: z.string(),
  sizeBytes: z.int().nonnegative(),
});

/**
 * The claim of one idempotency key.
 *
 * `claimed`: the claiming daemon may be executing the call, or died while it
 * was allowed to. `done`: the call was executed and has a response. `not-run`:
 * the claiming daemon released the key and never sent the call. `unknown`: the
 * claiming daemon sent the call and cannot determine whether the call was
 * executed; the call is never executed again.
 */
export const claimRecordSchema = z.strictObject({
  state: z.enum(["claimed", "done", "not-run", "unknown"]),
  /**
   * Identifies one call of one daemon incarnation; unique without coordination.
   */
  nonce: z.string(),
  /** SHA-256 of method, path and body of the call in hex. */
  bodyDigest: z.string(),
  /** Wall clock time of the claim, for information only. */
  claimedAtMs: z.int(),
  answer: responseSummarySchema.optional(),
});

/** The complete response to a finished call, stored only when it is small. */
export const recordedResponseSchema = z.strictObject({
  status: z.int().min(100).max(599),
  contentType: z.string(),
  body: z.string(),
});

/** Types of the stored values, inferred from their schemas. */
export type ResponseSummary = z.infer<typeof responseSummarySchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type ClaimState = ClaimRecord["state"];
export type RecordedResponse = z.infer<typeof recordedResponseSchema>;

/** Parses a claim from the text of its platform value. */
export function parseClaimRecord(
  text: string,
): Result<ClaimRecord, StepError<"claim-unreadable">> {
  return parseWith(claimRecordSchema, text, "claim.read");
}

/** Parses a recorded response from the text of its platform value. */
export function parseRecordedResponse(
  text: string,
): Result<RecordedResponse, StepError<"claim-unreadable">> {
  return parseWith(recordedResponseSchema, text, "claim.read_answer");
}

function parseWith<T>(
  schema: z.ZodType<T>,
  text: string,
  step: string,
): Result<T, StepError<"claim-unreadable">> {
  const json = parseJson(text);
  const parsed = schema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  return err(createStepError(
    "claim-unreadable",
    step,
    "the stored value does not match the claim schema; a newer version of " +
      "the daemon or an operator may have written it",
    { cause: parsed.error },
  ));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
