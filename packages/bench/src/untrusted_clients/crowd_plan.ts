import type { FleetPlan } from "../harness/index.ts";

/** The smallest machine in use; what a daemon may use of it at most. */
export const MEMORY_LIMIT_BYTES = 202_000_000;
/** Descriptors of the daemon; lower than on any machine in use. */
export const MAX_DESCRIPTORS = 500;
/** The largest body in use. */
export const MAX_BODY_BYTES = 4_194_304;

const LARGE_RESPONSE_BYTES = 4_000_000;
const ZONE = "zone-a";

/**
 * One daemon, and services with small and large responses; `daemonSettings` are
 * the limits of the daemon.
 */
export function createCrowdPlan(
  daemonSettings: Readonly<Record<string, unknown>>,
): FleetPlan {
  return {
    name: "crowd",
    availabilityZones: [ZONE],
    daemons: [{ vm: "entry-1", availabilityZone: ZONE }],
    pools: [
      {
        kind: "service",
        pool: "desks",
        targets: [{ vm: "desk-1", availabilityZone: ZONE }],
        settings: { runMs: 5 },
      },
      {
        kind: "service",
        pool: "archives",
        targets: [{ vm: "archive-1", availabilityZone: ZONE }],
        settings: { runMs: 5, paddingBytes: LARGE_RESPONSE_BYTES },
      },
    ],
    objects: [
      { kind: "team", name: "lots" },
      { kind: "service", name: "desk" },
      { kind: "pool", name: "desks", service: "desk", loadFactor: 2 },
      { kind: "service", name: "archive" },
      { kind: "pool", name: "archives", service: "archive", loadFactor: 2 },
      {
        kind: "route",
        name: "uploads",
        protocol: "service",
        pool: "desks",
        idempotent: true,
        maxBodyBytes: MAX_BODY_BYTES,
      },
      {
        kind: "route",
        name: "downloads",
        protocol: "service",
        pool: "archives",
        idempotent: true,
      },
    ],
    vmListLagMs: 0,
    daemonSettings,
  };
}
