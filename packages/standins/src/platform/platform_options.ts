import { z } from "zod";

/** The faults of the key-value service, all off by default. */
export const platformFaultsSchema = z.strictObject({
  /** Refuses connections and destroys the open ones, watches included. */
  down: z.boolean().default(false),
  /** Accepts calls and never responds. */
  hang: z.boolean().default(false),
  /** Delay of every response; the call takes effect before the delay. */
  slowMs: z.number().nonnegative().default(0),
  /**
   * Number of further writes that are applied but get no response: their
   * connection is destroyed.
   */
  loseWriteAnswers: z.int().nonnegative().default(0),
  /** Limits `loseWriteAnswers` to writes of keys with this prefix. */
  loseKeyPrefix: z.string().default(""),
  /**
   * Number of further writes that are not applied and get no response: their
   * connection is destroyed.
   */
  dropWrites: z.int().nonnegative().default(0),
  /** Holds back the events of all watches. */
  stallWatches: z.boolean().default(false),
});

export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** One-time actions on the key-value service. */
export const platformActionSchema = z.strictObject({
  /** Saves a snapshot of the current state. */
  saveSnapshot: z.boolean().default(false),
  /** Restores the last snapshot, including its revision. */
  restoreSnapshot: z.boolean().default(false),
  /** Forgets the history before this revision. */
  compactRevision: z.int().positive().nullable().default(null),
});

/** A request body of the control port: faults to merge, actions to apply. */
export const platformChangeSchema = z.strictObject({
  ...platformFaultsSchema.shape,
  ...platformActionSchema.shape,
}).partial();

/** The settings of the key-value service. */
export const platformOptionsSchema = z.strictObject({
  name: z.string().min(1).default("platform"),
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
  maxValueBytes: z.int().positive().default(1024 * 1024),
  maxWritesPerSecond: z.int().positive().default(400),
  maxReadsPerSecond: z.int().positive().default(2_000),
  /** Whether calls above the rate limits are rejected with status 429. */
  enforcesRates: z.boolean().default(false),
  faults: platformFaultsSchema.prefault({}),
});

export type PlatformOptions = z.infer<typeof platformOptionsSchema>;
export type PlatformSettings = z.input<typeof platformOptionsSchema>;

/** The options of a service whose settings are all left at their defaults. */
export const DEFAULT_PLATFORM_OPTIONS: PlatformOptions = platformOptionsSchema
  .parse({});
