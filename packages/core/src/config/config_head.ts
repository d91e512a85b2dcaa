import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createStepError, type StepError } from "../errors/index.ts";
import { layoutSchema } from "./layout.ts";
import { parseJson, partDigestsSchema } from "./part_contents.ts";

/** Key of the head in the key-value store. */
export const CONFIG_HEAD_KEY = "coltsfoot/config/head";
/** Prefix of the keys of parts, followed by the digest. */
export const CONFIG_PART_PREFIX = "coltsfoot/config/part/";
/** Prefix of the keys of publication records; see `publicationRecordKey`. */
export const CONFIG_RECORD_PREFIX = "coltsfoot/config/record/";

/** The root of a published set. Revisions only increase. */
export const configHeadSchema = z.strictObject({
  revision: z.int().positive(),
  /** Random value by which the publisher recognizes its own write. */
  nonce: z.string().min(1).max(64),
  layout: layoutSchema,
  /** Digests of the leaves, or of the index parts of a large set. */
  parts: partDigestsSchema,
  publishedBy: z.string().min(1).max(128),
  publishedAtMs: z.int().nonnegative(),
});

/** The root of a published set. */
export type ConfigHead = z.infer<typeof configHeadSchema>;

/** Parses a head from JSON text. */
export function readConfigHead(
  text: string,
): Result<ConfigHead, StepError<"malformed-head">> {
  return parseConfigHead(parseJson(text));
}

/** Validates a head that is already parsed from JSON. */
export function parseConfigHead(
  value: unknown,
): Result<ConfigHead, StepError<"malformed-head">> {
  const parsed = configHeadSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(createStepError(
    "malformed-head",
    "config.read-head",
    "the head does not match the schema of this version; update the daemon or publish again",
    { cause: z.prettifyError(parsed.error) },
  ));
}
