import type { FleetPlan } from "../fleet_plan.ts";

const ZONE = "zone-a";

/** One zone with two daemons, three engines and two services, for tests. */
export const SMALL_PLAN: FleetPlan = {
  name: "small",
  availabilityZones: [ZONE],
  daemons: [
    { vm: "entry-1", availabilityZone: ZONE },
    { vm: "entry-2", availabilityZone: ZONE },
  ],
  pools: [
    {
      kind: "engine",
      pool: "writers",
      targets: ["writer-1", "writer-2", "writer-3"].map((vm) => ({
        vm,
        availabilityZone: ZONE,
      })),
      settings: { interTokenMs: 2 },
    },
    {
      kind: "service",
      pool: "desks",
      targets: ["desk-1", "desk-2"].map((vm) => ({
        vm,
        availabilityZone: ZONE,
      })),
      settings: { runMs: 5 },
    },
  ],
  objects: [
    { kind: "team", name: "lots" },
    { kind: "model", name: "writer", version: "1" },
    { kind: "service", name: "desk" },
    { kind: "pool", name: "writers", model: "writer", loadFactor: 2 },
    { kind: "pool", name: "desks", service: "desk", loadFactor: 2 },
    {
      kind: "route",
      name: "chat",
      protocol: "chat",
      pool: "writers",
      idempotent: true,
      // A usual retry budget would be exhausted by a single injected fault.
      retryBudgetRatio: 1,
    },
    { kind: "route", name: "bids", protocol: "service", pool: "desks" },
  ],
  vmListLagMs: 0,
};
