import { z } from "zod";
import { engineFaultsSchema } from "./engine_faults.ts";

/** The settings of one model engine. */
export const engineOptionsSchema = z.strictObject({
  /** Name of the VM. */
  name: z.string().min(1),
  pool: z.string().min(1).default("engines"),
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
  /** Models that are loaded at the start; empty means any name is served. */
  models: z.array(z.string()).default([]),
  maxRunningRequests: z.int().positive().default(64),
  maxWaitingRequests: z.int().nonnegative().default(64),
  cacheTokens: z.int().nonnegative().default(200_000),
  prefillMsPerToken: z.number().nonnegative().default(0.02),
  interTokenMs: z.number().nonnegative().default(5),
  loadReportLagMs: z.number().nonnegative().default(200),
  cacheEventDelayMs: z.number().nonnegative().default(500),
  cacheEventLossRatio: z.number().min(0).max(1).default(0.05),
  /** Whether an order with an old fencing number is refused. */
  checksFences: z.boolean().default(true),
  /** How long an order to load takes. */
  orderMs: z.number().nonnegative().default(50),
  /** Puts the index of the token into every event as its SSE `id`. */
  sendsEventIds: z.boolean().default(true),
  seed: z.int().default(1),
  faults: engineFaultsSchema.prefault({}),
});

export type EngineOptions = z.infer<typeof engineOptionsSchema>;
export type EngineSettings = z.input<typeof engineOptionsSchema>;

/** What holds where the settings say nothing. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = engineOptionsSchema.parse({
  name: "engine",
});
