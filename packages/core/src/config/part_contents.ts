import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createStepError, type StepError } from "../errors/index.ts";
import { type FleetObject, objectSchema } from "../objects/index.ts";
import { writeCanonicalJson } from "./canonical_json.ts";

/** Computes the SHA-256 digest of UTF-8 text in lower case hex. */
export type Sha256Hex = (text: string) => string;

/** A SHA-256 digest in lower case hex. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);

/** Digests of parts by name; a name is a decimal number. */
export const partDigestsSchema = z.record(
  z.string().regex(/^\d{1,5}$/),
  digestSchema,
);

/**
 * A part is a leaf, which contains objects, or an index, which lists the leaves
 * of a group.
 */
const partSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("index"),
    parts: partDigestsSchema,
  }),
  z.strictObject({
    kind: z.literal("leaf"),
    objects: z.array(objectSchema),
  }),
]);

/** The contents of a part. */
export type PartContents = z.infer<typeof partSchema>;
/** Digests of parts by name. */
export type PartDigests = z.infer<typeof partDigestsSchema>;

/** Serializes a leaf; the objects must be sorted by key. */
export function writeLeaf(objects: readonly FleetObject[]): string {
  return writeCanonicalJson({ kind: "leaf", objects });
}

/** Serializes an index. */
export function writeIndex(parts: PartDigests): string {
  return writeCanonicalJson({ kind: "index", parts });
}

/** Parses a part whose digest is already verified. */
export function readPart(
  text: string,
): Result<PartContents, StepError<"malformed-part">> {
  const parsed = partSchema.safeParse(parseJson(text));
  if (parsed.success) return ok(parsed.data);
  return err(createStepError(
    "malformed-part",
    "config.read-part",
    "the part does not match the schema of this version; update the daemon or publish again",
    { cause: z.prettifyError(parsed.error) },
  ));
}

/** Parses JSON; returns undefined if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
