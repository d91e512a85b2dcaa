import { StoreRevisionSchema } from "@coltsfootford/core";
import { z } from "zod";
import { EntrySchema } from "./followed_prefix.ts";

/**
 * Longest wait of a daemon for changes. A relay that reaches the store responds
 * earlier, with each of its probes.
 */
export const MAX_WAIT_MS = 1_200;

/** Asks a relay for what has changed. */
export const WaitRequestSchema = z.object({
  /** By prefix: the point up to which the sender knows its entries. */
  revisions: z.record(z.string(), StoreRevisionSchema),
  waitMs: z.number().nonnegative().max(MAX_WAIT_MS),
  /** Whether the sender can't read large values from the store. */
  wantsLargeValues: z.boolean().default(false),
});
export type WaitRequest = z.infer<typeof WaitRequestSchema>;
const PrefixDeltaSchema = z.object({
  revision: StoreRevisionSchema,
  entries: z.array(EntrySchema).readonly(),
  keys: z.array(z.string()).readonly().nullable(),
  omitted: z.array(z.string()).readonly().default([]),
});
/** What has changed since the points of a request. */
export const WaitResponseSchema = z.object({
  /** Age of the responder's knowledge. */
  currentMsAgo: z.number().nonnegative().nullable(),
  /** Whether entries may be missing that lapsed while the store was away. */
  isAfterOutage: z.boolean(),
  /** By prefix. */
  deltas: z.record(z.string(), PrefixDeltaSchema),
});
export type WaitResponse = z.infer<typeof WaitResponseSchema>;
