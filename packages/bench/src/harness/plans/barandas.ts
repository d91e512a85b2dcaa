import {
  type FleetPlan,
  type ObjectInput,
  spreadOverZones,
} from "../fleet_plan.ts";

const ZONES = ["cordoba-a", "cordoba-b", "cordoba-c"] as const;
const LARGE_TEAM_SHARE_WEIGHT = 4;

const OBJECTS: ObjectInput[] = [
  ...["surveys", "installers", "clinics"].map((name): ObjectInput => ({
    kind: "team",
    name,
    shareWeight: LARGE_TEAM_SHARE_WEIGHT,
  })),
  ...["homes", "tagging", "orders", "status", "training", "support", "audit"]
    .map((name): ObjectInput => ({ kind: "team", name })),
  { kind: "model", name: "drafter", version: "1" },
  { kind: "service", name: "booking" },
  { kind: "pool", name: "drafters", model: "drafter", loadFactor: 1.25 },
  { kind: "pool", name: "bookings", service: "booking", loadFactor: 1.5 },
  {
    kind: "route",
    name: "chat",
    protocol: "chat",
    pool: "drafters",
    reuseWeight: 0.3,
    idempotent: true,
  },
  { kind: "route", name: "installs", protocol: "service", pool: "bookings" },
];

/** Barandas: 3 zones, 6 daemons, 13 engines and 3 booking services. */
export const BARANDAS_PLAN: FleetPlan = {
  name: "barandas",
  availabilityZones: ZONES,
  daemons: spreadOverZones("entry", 6, ZONES),
  pools: [
    {
      kind: "engine",
      pool: "drafters",
      targets: spreadOverZones("drafter", 13, ZONES),
      settings: { interTokenMs: 4 },
    },
    {
      kind: "service",
      pool: "bookings",
      targets: spreadOverZones("booking", 3, ZONES),
      settings: { runMs: 20 },
    },
  ],
  objects: OBJECTS,
  zoneDelayMs: 3,
};
