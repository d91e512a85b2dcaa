import { z } from "zod";

/** The faults that engines and plain services have in common. */
export const targetFaultsSchema = z.strictObject({
  /** Closes a kept-alive connection as its next request is written. */
  closeIdleOnWrite: z.boolean().default(false),
  /** Crashes on a request whose body contains one of these. */
  poisonMarkers: z.array(z.string().min(1)).default([]),
  /** Refuses every request as busy. */
  refuseBusy: z.boolean().default(false),
  /** Takes requests and never answers them. */
  hang: z.boolean().default(false),
  /** Holds every answer back for so long. */
  lateAnswersMs: z.number().nonnegative().default(0),
  /** Answers load reports with an error. */
  failLoadReports: z.boolean().default(false),
  loadReportLagMs: z.number().nonnegative().nullable().default(null),
  /** Refuses new requests and says so in the load report. */
  leaving: z.boolean().default(false),
  /** Has no process: nothing listens and all connections are gone. */
  down: z.boolean().default(false),
  /** How long after a crash it starts anew; null for never. */
  restartAfterMs: z.number().nonnegative().nullable().default(null),
  /** How many more requests the faults of answers hit; null for all. */
  remainingRequests: z.int().nonnegative().nullable().default(null),
});

export type TargetFaults = z.infer<typeof targetFaultsSchema>;

/** Merges a partial set of faults, as JSON, into the present ones. */
export function mergeFaults<T extends object>(
  schema: z.ZodType<T>,
  current: T,
  change: unknown,
): T {
  return schema.parse({ ...current, ...(change as Partial<T>) });
}
