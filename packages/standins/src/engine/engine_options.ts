import { z } from "zod";
import { engineFaultsSchema } from "./engine_faults.ts";

/** The settings of one model engine. */
export const engineOptionsSchema = z.strictObject({
  /** Name of the VM. */
  name: z.string().min(1),
  pool: z.string().min(1).default("engines"),
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
  /** Models that are loaded at the start; if empty, the engine serves any. */
  models: z.array(z.string()).default([]),
  maxRunningRequests: z.int().positive().default(64),
  maxWaitingRequests: z.int().nonnegative().default(64),
  cacheTokens: z.int().nonnegative().default(200_000),
  prefillMsPerToken: z.number().nonnegative().default(0.02),
  interTokenMs: z.number().nonnegative().default(5),
  loadReportLagMs: z.number().nonnegative().default(200),
  cacheEventDelayMs: z.number().nonnegative().default(500),
  cacheEventLossRatio: z.number().min(0).max(1).default(0.05),
  /** Whether the engine rejects an order with an outdated fencing token. */
  checksFences: z.boolean().default(true),
  /** Time from accepting an order to its effect. */
  orderMs: z.number().nonnegative().default(50),
  /** Whether each event has the index of its token as its SSE `id`. */
  sendsEventIds: z.boolean().default(true),
  seed: z.int().default(1),
  faults: engineFaultsSchema.prefault({}),
});

export type EngineOptions = z.infer<typeof engineOptionsSchema>;
export type EngineSettings = z.input<typeof engineOptionsSchema>;

/** The options of an engine whose settings are all left at their defaults. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = engineOptionsSchema.parse({
  name: "engine",
});
