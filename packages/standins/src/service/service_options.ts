import { z } from "zod";
import { targetFaultsSchema } from "../target/index.ts";

/** The faults of a plain service, all off by default. */
export const serviceFaultsSchema = targetFaultsSchema.extend({
  /** Reads the request and destroys the connection without executing it. */
  closeBeforeRun: z.boolean().default(false),
  /** Executes the request and destroys the connection without a response. */
  loseAnswers: z.boolean().default(false),
  /** Executes the request and responds with this status. */
  failStatus: z.int().min(400).max(599).nullable().default(null),
  /** Responds with the id of another request. */
  wrongId: z.boolean().default(false),
  /** Executes the request, sends half of the body, destroys the connection. */
  truncateAnswers: z.boolean().default(false),
});

export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

/** The settings of one plain service. */
export const serviceOptionsSchema = z.strictObject({
  /** Name of the VM. */
  name: z.string().min(1),
  pool: z.string().min(1).default("services"),
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
  /** Execution time of a call. */
  runMs: z.number().nonnegative().default(10),
  maxRunningRequests: z.int().positive().default(256),
  /** Bytes of padding in each response. */
  paddingBytes: z.int().nonnegative().default(0),
  loadReportLagMs: z.number().nonnegative().default(200),
  faults: serviceFaultsSchema.prefault({}),
});

export type ServiceOptions = z.infer<typeof serviceOptionsSchema>;
export type ServiceSettings = z.input<typeof serviceOptionsSchema>;

/** The options of a service whose settings are all left at their defaults. */
export const DEFAULT_SERVICE_OPTIONS: ServiceOptions = serviceOptionsSchema
  .parse({ name: "service" });
