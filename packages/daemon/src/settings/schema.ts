import { z } from "zod";
import { peerKeySchema } from "../peers/index.ts";

/** Settings that a daemon falls back to where its file is silent. */
export const DEFAULT_OPTIONS = {
  loopbackHost: "127.0.0.1",
  anyPort: 0,
  logLevel: "info",
  vmListPollMs: 10_000,
  shutdownLimitMs: 60_000,
  readinessGraceMs: 1_000,
} as const;

const hostSchema = z.union([z.ipv4(), z.ipv6()], {
  error: "give an IP number; daemons do not resolve names",
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

/** A daemon that may be asked for the state of its zone before the VM list. */
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
  /** Where callers connect. */
  listen: listenSchema.default(DEFAULT_LISTEN),
  /** Where other daemons connect. */
  peerListen: listenSchema.default(DEFAULT_LISTEN),
  /** Where operators and the balancer's health check connect. */
  admin: listenSchema.default(DEFAULT_LISTEN),
  platform: z.strictObject({
    endpoints: z.array(z.url()).min(1),
  }),
  vmList: z.strictObject({
    url: z.url(),
    pollMs: z.int().positive().default(DEFAULT_OPTIONS.vmListPollMs),
  }),
  peers: z.array(seedPeerSchema).default([]),
  /** Several are valid at once during a rotation; the first is preferred. */
  peerKeys: z.array(peerKeySchema).default([]),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default(
    DEFAULT_OPTIONS.logLevel,
  ),
  /** Longest time that a graceful shutdown waits for running requests. */
  shutdownLimitMs: z.int().positive().default(DEFAULT_OPTIONS.shutdownLimitMs),
  /** Time between unreadiness and the close of the callers' port. */
  readinessGraceMs: z.int().nonnegative().default(
    DEFAULT_OPTIONS.readinessGraceMs,
  ),
});

/** The checked settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
