import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createStepError, type StepError } from "../errors/index.ts";

/**
 * The two values that the platform keeps for an idempotency key: the claim,
 * which decides who may run the call, and the recorded answer beside it.
 */

/** What the answer of a finished call was, without its body. */
export const answerSummarySchema = z.strictObject({
  status: z.int().min(100).max(599),
  /** SHA-256 of the body in hex. */
  bodyDigest: z.string(),
  sizeBytes: z.int().nonnegative(),
});

/**
 * The claim of one idempotency key.
 *
 * `claimed`: the claimer may be running the call, or died while it could.
 * `done`: the call ran and was answered. `not-run`: the claimer released the
 * key and never sent the call. `unknown`: the claimer sent the call and cannot
 * tell whether it ran; it is never run again.
 */
export const claimRecordSchema = z.strictObject({
  state: z.enum(["claimed", "done", "not-run", "unknown"]),
  /** Names one call of one daemon incarnation; unique without agreement. */
  nonce: z.string(),
  /** SHA-256 of method, path and body of the call in hex. */
  bodyDigest: z.string(),
  /** Calendar time of the claim, for people only. */
  claimedAtMs: z.int(),
  answer: answerSummarySchema.optional(),
});

/** The body of a finished call, kept where it is small. */
export const recordedAnswerSchema = z.strictObject({
  status: z.int().min(100).max(599),
  contentType: z.string(),
  body: z.string(),
});

/** The types of the kept values, inferred from their schemas. */
export type AnswerSummary = z.infer<typeof answerSummarySchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type ClaimState = ClaimRecord["state"];
export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>;

/** Reads a claim from the text of its platform value. */
export function parseClaimRecord(
  text: string,
): Result<ClaimRecord, StepError<"claim-unreadable">> {
  return parseWith(claimRecordSchema, text, "claim.read");
}

/** Reads a recorded answer from the text of its platform value. */
export function parseRecordedAnswer(
  text: string,
): Result<RecordedAnswer, StepError<"claim-unreadable">> {
  return parseWith(recordedAnswerSchema, text, "claim.read_answer");
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
    "the kept value does not have the form of a claim; a newer version of " +
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
