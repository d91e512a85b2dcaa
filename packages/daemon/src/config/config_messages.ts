import { z } from "zod";
import { configHeadSchema, digestSchema } from "@coltsfootford/core";

/**
 * Messages between daemons about the configuration. Every daemon responds with
 * the configuration that it has applied.
 */

/** Notification that announces a revision to a daemon. */
export const ANNOUNCE_METHOD = "cfg.announce";
/** Call that sends the own revision and returns the peer's revision. */
export const POLL_METHOD = "cfg.poll";
/** Call that returns the applied head. */
export const HEAD_METHOD = "cfg.head";
/** Call that returns parts by digest. */
export const PART_METHOD = "cfg.part";

/** Most parts requested in one call to a peer or to the platform. */
export const MAX_PARTS_PER_CALL = 64;
/** Limit of the parts in one response; a single part may exceed it. */
export const MAX_RESPONSE_BYTES = 256 * 1024;

/** A revision; 0 if no configuration is applied. */
export const revisionSchema = z.strictObject({
  revision: z.int().nonnegative(),
});

/** The applied head, or null if no configuration is applied. */
export const headResponseSchema = z.strictObject({
  head: configHeadSchema.nullable(),
});

/** Digests of the requested parts. */
export const partRequestSchema = z.strictObject({
  digests: z.array(digestSchema).min(1).max(MAX_PARTS_PER_CALL),
});

/** Parts by digest. Missing parts and parts over the size limit are omitted. */
export const partResponseSchema = z.strictObject({
  parts: z.record(digestSchema, z.string()),
});

/** The types of the messages, inferred from their schemas. */
export type RevisionMessage = z.infer<typeof revisionSchema>;
export type HeadResponse = z.infer<typeof headResponseSchema>;
export type PartRequest = z.infer<typeof partRequestSchema>;
export type PartResponse = z.infer<typeof partResponseSchema>;
