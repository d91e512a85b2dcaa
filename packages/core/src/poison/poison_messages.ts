import { z } from "zod";

/**
 * The messages by which daemons tell one another about requests that crash
 * targets. A digest names the content of a request: the same content sent
 * again through another daemon has the same digest.
 */

/** Digits of a request digest: the first 128 bits of a SHA-256, in hex. */
const DIGEST_PATTERN = /^[0-9a-f]{32}$/;

/** Most digests in one report; a larger batch is sent in several reports. */
export const MAX_DIGESTS_PER_REPORT = 512;

/** The digest of a request's content. */
export const requestDigestSchema = z.string().regex(DIGEST_PATTERN);

/** Requests that were running on a target when it crashed. */
export const crashReportSchema = z.strictObject({
  /** Names the crash; the same for all reports about it where known. */
  crashId: z.string().min(1).max(200),
  target: z.string().min(1).max(200),
  /** The daemon that saw these requests die. */
  reporter: z.string().min(1).max(200),
  digests: z.array(requestDigestSchema).max(MAX_DIGESTS_PER_REPORT),
});

/** A suspect that ran to its end, so its content crashes no target. */
export const clearanceSchema = z.strictObject({
  digests: z.array(requestDigestSchema).max(MAX_DIGESTS_PER_REPORT),
});

/** Content that is refused from now on, also told to other zones. */
export const quarantineNoticeSchema = z.strictObject({
  digest: requestDigestSchema,
  crashes: z.int().positive(),
  availabilityZone: z.string(),
  /** Calendar time, for people only. */
  quarantinedAtMs: z.int(),
});

/** The types of the messages, inferred from their schemas. */
export type CrashReport = z.infer<typeof crashReportSchema>;
export type Clearance = z.infer<typeof clearanceSchema>;
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;
