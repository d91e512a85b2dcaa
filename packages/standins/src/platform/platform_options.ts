import { z } from "zod";

/** The faults of the key-value service, all off by default. */
export const platformFaultsSchema = z.strictObject({
  /** Refuses connections, and ends watches. */
  down: z.boolean().default(false),
  /** Takes calls and never answers them. */
  hang: z.boolean().default(false),
  /** Holds every answer back for so long; the call takes effect before. */
  slowMs: z.number().nonnegative().default(0),
  /** Applies this many more writes and destroys the connection unanswered. */
  loseWriteAnswers: z.int().nonnegative().default(0),
  /** Loses only answers to writes of keys that start with this. */
  loseKeyPrefix: z.string().default(""),
  /** Destroys the connection of this many more writes, which take no effect. */
  dropWrites: z.int().nonnegative().default(0),
  /** Watches deliver nothing while this is set. */
  stallWatches: z.boolean().default(false),
});

export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** What can be done to the key-value service beside its faults. */
export const platformActionSchema = z.strictObject({
  /** Keeps a copy of the present state. */
  saveSnapshot: z.boolean().default(false),
  /** Puts the state of the last copy back, its revision included. */
  restoreSnapshot: z.boolean().default(false),
  /** Forgets the history before this revision. */
  compactRevision: z.int().positive().nullable().default(null),
});

/** A body of the control port: faults to merge in and things to do. */
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
  /** Refuses calls above the rates with status 429. */
  enforcesRates: z.boolean().default(false),
  faults: platformFaultsSchema.prefault({}),
});

export type PlatformOptions = z.infer<typeof platformOptionsSchema>;
export type PlatformSettings = z.input<typeof platformOptionsSchema>;

/** What holds where the settings say nothing. */
export const DEFAULT_PLATFORM_OPTIONS: PlatformOptions = platformOptionsSchema
  .parse({});
