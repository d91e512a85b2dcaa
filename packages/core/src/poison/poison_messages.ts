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
  /** How much the crash counts as evidence; 1 where not stated. */
  weight: z.number().positive().max(1).optional(),
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

/** Limit of the messages of a chat that are told apart. */
export const MAX_CHAT_MESSAGES = 8;
const MAX_REPORTED_CRASHES = 128;
const MAX_REPORTED_CHATS = 64;

const messagesSchema = z.array(requestDigestSchema).min(1)
  .max(MAX_CHAT_MESSAGES).readonly();
const crashNameSchema = z.string().min(1).max(220);

/** The chats of one daemon that the crash of a target interrupted. */
export const messageCrashReportSchema = z.strictObject({
  /** The name of the crash. */
  target: crashNameSchema,
  reporter: z.string().min(1).max(200),
  suspects: z.array(z.strictObject({
    parts: messagesSchema,
    hasResponse: z.boolean(),
    isIsolated: z.boolean().optional(),
  })).max(MAX_REPORTED_CHATS).readonly(),
});

/** A message that did not cause the crashes. */
export const soundMessageSchema = z.strictObject({
  part: requestDigestSchema,
  crashes: z.array(crashNameSchema).max(MAX_REPORTED_CRASHES).readonly(),
});

/** Messages that crash the targets that read a chat with all of them. */
export const quarantinedMessagesSchema = z.strictObject({
  parts: messagesSchema,
  crashes: z.array(crashNameSchema).max(MAX_REPORTED_CRASHES).readonly(),
});

/** Types of the messages, inferred from their schemas. */
export type CrashReport = z.infer<typeof crashReportSchema>;
export type Clearance = z.infer<typeof clearanceSchema>;
export type QuarantineNotice = z.infer<typeof quarantineNoticeSchema>;
export type MessageCrashReport = z.infer<typeof messageCrashReportSchema>;
export type SoundMessage = z.infer<typeof soundMessageSchema>;
export type QuarantinedMessages = z.infer<typeof quarantinedMessagesSchema>;
