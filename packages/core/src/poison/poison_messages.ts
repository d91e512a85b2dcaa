import { z } from "zod";

/**
 * Messages between daemons about requests that crash targets. A digest
 * identifies the content of a request, so the same content sent through another
 * daemon has the same digest.
 */

/** A request digest: the first 128 bits of a SHA-256 in hex. */
const DIGEST_PATTERN = /^[0-9a-f]{32}$/;

/**
 * Maximum number of digests per report; a larger batch is split into several
 * reports.
 */
export const MAX_DIGESTS_PER_REPORT = 512;

/** The digest of a request's content. */
export const requestDigestSchema = z.string().regex(DIGEST_PATTERN);

/** Requests that were running on a target when it crashed. */
export const crashReportSchema = z.strictObject({
  /**
   * Identifies the crash; equal in all reports about the crash if it is known.
   */
  crashId: z.string().min(1).max(200),
  target: z.string().min(1).max(200),
  /** The daemon whose requests were interrupted by the crash. */
  reporter: z.string().min(1).max(200),
  digests: z.array(requestDigestSchema).max(MAX_DIGESTS_PER_REPORT),
});

/** Suspects that completed, so their content does not crash targets. */
export const clearanceSchema = z.strictObject({
  digests: z.array(requestDigestSchema).max(MAX_DIGESTS_PER_REPORT),
});

/** Newly quarantined content, also sent to other zones. */
export const quarantineNoticeSchema = z.strictObject({
  digest: requestDigestSchema,
  crashes: z.int().positive(),
  availabilityZone: z.string(),
  /** Wall clock time, for information only. */
  quarantinedAtMs: z.int(),
});

/** Types of the messages, inferred from their schemas. */
export type CrashReport = z.infer<typeof crashReportSchema>;
export type Clearance = z.infer<typeof clearanceSchema>;
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;
