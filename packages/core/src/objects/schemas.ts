import { z } from "zod";

/**
 * Schemas of the configuration objects that operators write. The targets of a
 * pool are not configured here. They come from the VM list of the platform,
 * which contains the pool of every target VM.
 */

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;

const NAME_DESCRIPTION =
  "Name of the object, unique among objects of its kind.";

/** The name of an object: lower case letters, digits and inner hyphens. */
export const objectNameSchema = z.string().regex(
  NAME_PATTERN,
  "use 1 to 63 lower case letters, digits and inner hyphens",
);

const sha256Schema = z.string().regex(
  /^[0-9a-f]{64}$/,
  "use the SHA-256 digest in 64 lower case hex digits",
);

/** A customer of the fleet and its share of the capacity. */
export const teamSchema = z.strictObject({
  kind: z.literal("team"),
  name: objectNameSchema.describe(NAME_DESCRIPTION),
  apiKeySha256: z.array(sha256Schema).default([]).describe(
    "SHA-256 digests of the API keys that prove a caller is of this team.",
  ),
  shareWeight: z.number().positive().max(1000).default(1).describe(
    "Weight of the team's share where several teams compete.",
  ),
  maxConcurrentRequests: z.int().positive().max(1_000_000).default(10_000)
    .describe(
      "Most requests the team may have running at a time in a zone.",
    ),
});

/** A model that engines serve, with its adapters. */
export const modelSchema = z.strictObject({
  kind: z.literal("model"),
  name: objectNameSchema.describe(NAME_DESCRIPTION),
  version: z.string().min(1).max(64).describe(
    "Version of the weights that the engines load.",
  ),
  adapters: z.array(objectNameSchema).default([]).describe(
    "Names of adapters that may be asked for as `model:adapter`.",
  ),
});

/** An application other than a model engine. */
export const serviceSchema = z.strictObject({
  kind: z.literal("service"),
  name: objectNameSchema.describe(NAME_DESCRIPTION),
});

/** A set of interchangeable targets and their load limits. */
export const poolSchema = z.strictObject({
  kind: z.literal("pool"),
  name: objectNameSchema.describe(NAME_DESCRIPTION),
  model: objectNameSchema.optional().describe(
    "Name of the model that the targets run, for a pool of engines.",
  ),
  service: objectNameSchema.optional().describe(
    "Name of the service that the targets run, for a pool of a service.",
  ),
  loadFactor: z.number().min(1.05).max(10).default(1.25).describe(
    "No target carries more than this multiple of the mean load.",
  ),
  maxConcurrentPerTarget: z.int().positive().max(100_000).default(64).describe(
    "Most requests a target may run at a time, whatever the mean.",
  ),
  maxQueuedRequests: z.int().nonnegative().max(1_000_000).default(1_000)
    .describe(
      "Requests that may wait in one daemon for a place in the pool.",
    ),
});

/** How clients reach a pool and how their requests are handled. */
export const routeSchema = z.strictObject({
  kind: z.literal("route"),
  name: objectNameSchema.describe(NAME_DESCRIPTION),
  protocol: z.enum(["chat", "service"]).describe(
    "`chat` is reached at /v1/chat/completions, `service` at /services/NAME.",
  ),
  pool: objectNameSchema.describe("Name of the pool that serves the route."),
  fallback: objectNameSchema.optional().describe(
    "Service route whose pool is used while this one's pool has no live target.",
  ),
  teams: z.array(objectNameSchema).default([]).describe(
    "Teams that may use the route; empty means every team.",
  ),
  reuseWeight: z.number().min(0).max(1).default(0.5).describe(
    "1 favours cache reuse alone, 0 even load alone.",
  ),
  crossZonePenalty: z.number().min(0).max(1).default(0.1).describe(
    "How much a target of another zone costs against one of the own zone.",
  ),
  idempotent: z.boolean().default(false).describe(
    "Whether a request may be run again after a failure.",
  ),
  retryBudgetRatio: z.number().min(0).max(1).default(0.1).describe(
    "Share of requests that may be retried, for example 0.1.",
  ),
  maxAttempts: z.int().min(1).max(10).default(3).describe(
    "Most tries of one request, the first included.",
  ),
  deadlineMs: z.int().positive().max(86_400_000).default(60_000).describe(
    "Time for a request whose caller sets no deadline, in ms.",
  ),
  maxBodyBytes: z.int().positive().max(64 * 1024 * 1024).default(1024 * 1024)
    .describe("Longest body of a request, in bytes."),
});

/** The schema of each object kind. */
export const schemaByKind = {
  team: teamSchema,
  model: modelSchema,
  service: serviceSchema,
  pool: poolSchema,
  route: routeSchema,
} as const;

/** Schema of any configuration object. */
export const objectSchema = z.discriminatedUnion("kind", [
  teamSchema,
  modelSchema,
  serviceSchema,
  poolSchema,
  routeSchema,
]);

/** Types of the objects, inferred from their schemas. */
export type Team = z.infer<typeof teamSchema>;
export type Model = z.infer<typeof modelSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Route = z.infer<typeof routeSchema>;
export type FleetObject = z.infer<typeof objectSchema>;
export type ObjectKind = FleetObject["kind"];
