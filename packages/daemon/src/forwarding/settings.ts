import { z } from "zod";

const AddressSchema = z.object({
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
});

/** Settings that take effect while a daemon runs. */
export const ForwardingLimitsSchema = z.object({
  /** Time between SIGTERM and the forced end of the process. */
  shutdownLimitMs: z.number().positive(),
  /** Time for which a target still serves after it announced its departure. */
  targetLeaveMs: z.number().nonnegative(),
  /** Time within which a change in the store has to take effect. */
  changeApplyMs: z.number().positive(),
  /** Retries allowed per first attempt of a service, over all daemons. */
  repeatRatio: z.number().nonnegative(),
  /** Retries allowed per window in addition to the ratio, over all daemons. */
  repeatSlack: z.number().nonnegative(),
  /** Limit on the load of a target, as a multiple of the mean load. */
  maxLoadFactor: z.number().positive(),
  /** Multiple of what a cold target accepts in a second, over all daemons. */
  coldOverage: z.number().positive().optional(),
  /** Requests allowed in any one second in addition to the multiple. */
  coldSlack: z.number().nonnegative().optional(),
});

/** Settings of a daemon that forwards requests, independent of the platform. */
export const ForwardingSettingsSchema = z.object({
  vm: z.string(),
  availabilityZone: z.string(),
  listen: z.object({
    clients: AddressSchema,
    readiness: AddressSchema,
    peers: AddressSchema.optional(),
    metrics: AddressSchema.optional(),
  }),
  seeds: z.array(AddressSchema),
  store: AddressSchema,
  limits: ForwardingLimitsSchema,
  /** Memory of the machine; without it, held bytes are not limited. */
  memoryLimitBytes: z.number().int().positive().optional(),
  /** File descriptors that the machine allows the process. */
  maxDescriptors: z.number().int().positive().optional(),
  /**
   * Whether the owner of a contended target orders the requests for its slots.
   * Off by default: at 138 daemons the order cost more than it gained.
   */
  ordersContendedTargets: z.boolean().optional(),
});

/** An address to listen on or to connect to. */
export type Address = z.infer<typeof AddressSchema>;
/** See `ForwardingLimitsSchema`. */
export type ForwardingLimits = z.infer<typeof ForwardingLimitsSchema>;
/** See `ForwardingSettingsSchema`. */
export type ForwardingSettings = z.infer<typeof ForwardingSettingsSchema>;
