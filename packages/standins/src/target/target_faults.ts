import { z } from "zod";

/** The faults that engines and plain services have in common. */
export const targetFaultsSchema = z.strictObject({
  /** Closes a keep-alive connection when its next request arrives. */
  closeIdleOnWrite: z.boolean().default(false),
  /** Crashes on a request whose body contains one of these. */
  poisonMarkers: z.array(z.string().min(1)).default([]),
  /** Rejects every request as busy. */
  refuseBusy: z.boolean().default(false),
  /** Accepts requests and never responds. */
  hang: z.boolean().default(false),
  /** Delay of every response. */
  lateAnswersMs: z.number().nonnegative().default(0),
  /** Responds to requests for the load report with an error. */
  failLoadReports: z.boolean().default(false),
  loadReportLagMs: z.number().nonnegative().nullable().default(null),
  /** Seconds to stay away that each rejection names; null for none. */
  retryAfterS: z.number().nonnegative().nullable().default(null),
  /**
   * Rejects new requests and reports `leaving` in the load report and in each
   * response.
   */
  leaving: z.boolean().default(false),
  /** Simulates a dead process: no listener, all connections destroyed. */
  down: z.boolean().default(false),
  /** Time from a crash to the restart; null for no restart. */
  restartAfterMs: z.number().nonnegative().nullable().default(null),
  /** Number of further responses with faults; null for no limit. */
  remainingRequests: z.int().nonnegative().nullable().default(null),
});

export type TargetFaults = z.infer<typeof targetFaultsSchema>;

/** Merges a partial set of faults in JSON into the current ones. */
export function mergeFaults<T extends object>(
  schema: z.ZodType<T>,
  current: T,
  change: unknown,
): T {
  return schema.parse({ ...current, ...(change as Partial<T>) });
}
