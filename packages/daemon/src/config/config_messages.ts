import { z } from "zod";
import { configHeadSchema, digestSchema } from "@coltsfootford/core";

/**
 * Messages between daemons about the configuration. Every daemon answers them
 * for the set that it has in force.
 */

/** Tells a daemon of a set; a notification. */
export const ANNOUNCE_METHOD = "cfg.announce";
/** Tells the own revision and asks for the other's; a call. */
export const POLL_METHOD = "cfg.poll";
/** Asks for the head in force; a call. */
export const HEAD_METHOD = "cfg.head";
/** Asks for parts by digest; a call. */
export const PART_METHOD = "cfg.part";

/** Most parts asked for in one call, of a peer or of the platform. */
export const MAX_PARTS_PER_CALL = 64;
/** Bytes of parts after which an answer holds no more. */
export const MAX_ANSWER_BYTES = 256 * 1024;

/** A revision; 0 for none. */
export const revisionSchema = z.strictObject({
  revision: z.int().nonnegative(),
});

/** The head in force, or null before the first. */
export const headAnswerSchema = z.strictObject({
  head: configHeadSchema.nullable(),
});

/** Digests of the parts to send. */
export const partRequestSchema = z.strictObject({
  digests: z.array(digestSchema).min(1).max(MAX_PARTS_PER_CALL),
});

/** Parts by digest. Parts that are not held, or too much, are left out. */
export const partAnswerSchema = z.strictObject({
  parts: z.record(digestSchema, z.string()),
});

/** The types of the messages, inferred from their schemas. */
export type RevisionMessage = z.infer<typeof revisionSchema>;
export type HeadAnswer = z.infer<typeof headAnswerSchema>;
export type PartRequest = z.infer<typeof partRequestSchema>;
export type PartAnswer = z.infer<typeof partAnswerSchema>;
