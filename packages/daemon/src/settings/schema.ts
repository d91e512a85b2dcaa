import { z } from "zod";
import { peerKeySchema } from "../peers/index.ts";

/** Defaults for options that are missing in the settings file. */
export const DEFAULT_OPTIONS = {
  loopbackHost: "127.0.0.1",
  anyPort: 0,
  logLevel: "info",
  vmListPollMs: 10_000,
  shutdownLimitMs: 60_000,
  readinessGraceMs: 1_000,
} as const;

const hostSchema = z.union([z.ipv4(), z.ipv6()], {
  error: "specify an IP address; daemons do not resolve host names",
});
const portSchema = z.int().min(0).max(65_535);
const listenSchema = z.strictObject({
  host: hostSchema.default(DEFAULT_OPTIONS.loopbackHost),
  port: portSchema.default(DEFAULT_OPTIONS.anyPort),
});
const DEFAULT_LISTEN = {
  host: DEFAULT_OPTIONS.loopbackHost,
  port: DEFAULT_OPTIONS.anyPort,
};

/** A daemon to contact for the state of its zone before the VM list is known. */
export const seedPeerSchema = z.strictObject({
  vm: z.string().min(1),
  availabilityZone: z.string().min(1),
  host: hostSchema,
  peerPort: portSchema,
});

/** The schema of the settings file of `coltsfootd`. */
export const settingsSchema = z.strictObject({
  vm: z.string().min(1),
  availabilityZone: z.string().min(1),
  /** Address for clients. */
  listen: listenSchema.default(DEFAULT_LISTEN),
  /** Address for other daemons. */
  peerListen: listenSchema.default(DEFAULT_LISTEN),
  /** Address for operators and the health check of the load balancer. */
  admin: listenSchema.default(DEFAULT_LISTEN),
  platform: z.strictObject({
    endpoints: z.array(z.url()).min(1),
  }),
  vmList: z.strictObject({
    url: z.url(),
    pollMs: z.int().positive().default(DEFAULT_OPTIONS.vmListPollMs),
  }),
  peers: z.array(seedPeerSchema).default([]),
  /** All keys are valid during a rotation; the first is preferred. */
  peerKeys: z.array(peerKeySchema).default([]),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default(
    DEFAULT_OPTIONS.logLevel,
  ),
  /** Maximum time that a graceful shutdown waits for requests in flight. */
  shutdownLimitMs: z.int().positive().default(DEFAULT_OPTIONS.shutdownLimitMs),
  /** Time from reporting not ready until the client port is closed. */
  readinessGraceMs: z.int().nonnegative().default(
    DEFAULT_OPTIONS.readinessGraceMs,
  ),
  /** Memory that the daemon may use; without it, held bytes are not limited. */
  memoryLimitBytes: z.int().positive().optional(),
  /**
   * File descriptors that the daemon may use; without it, the open connections
   * of clients are not limited.
   */
  maxDescriptors: z.int().positive().optional(),
});

/** The validated settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
