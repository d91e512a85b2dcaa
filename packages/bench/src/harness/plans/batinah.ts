import {
  type FleetPlan,
  type ObjectInput,
  spreadOverZones,
} from "../fleet_plan.ts";

const ZONES = ["muscat-a", "muscat-b", "muscat-c", "muscat-d"] as const;
const LARGE_TEAM_SHARE_WEIGHT = 4;

const OBJECTS: ObjectInput[] = [
  ...["lots", "bidders", "schools"].map((name): ObjectInput => ({
    kind: "team",
    name,
    shareWeight: LARGE_TEAM_SHARE_WEIGHT,
  })),
  ...["masons", "carpenters", "joiners", "tagging", "press", "support", "audit"]
    .map((name): ObjectInput => ({ kind: "team", name })),
  { kind: "model", name: "writer", version: "1" },
  { kind: "service", name: "desk" },
  { kind: "pool", name: "writers", model: "writer", loadFactor: 1.25 },
  { kind: "pool", name: "desks", service: "desk", loadFactor: 1.5 },
  {
    kind: "route",
    name: "chat",
    protocol: "chat",
    pool: "writers",
    reuseWeight: 0.9,
    idempotent: true,
  },
  { kind: "route", name: "bids", protocol: "service", pool: "desks" },
];

/** The Trust: 4 zones, 6 daemons, 13 writer engines and 4 desk services. */
export const BATINAH_PLAN: FleetPlan = {
  name: "batinah",
  availabilityZones: ZONES,
  daemons: spreadOverZones("entry", 6, ZONES),
  pools: [
    {
      kind: "engine",
      pool: "writers",
      targets: spreadOverZones("writer", 13, ZONES),
      settings: { interTokenMs: 4 },
    },
    {
      kind: "service",
      pool: "desks",
      targets: spreadOverZones("desk", 4, ZONES),
      settings: { runMs: 20 },
    },
  ],
  objects: OBJECTS,
  zoneDelayMs: 3.5,
};
