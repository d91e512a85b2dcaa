import { fileURLToPath } from "node:url";
import { type FleetPlan, spreadOverZones } from "../fleet_plan.ts";

const ZONES = ["muscat-a", "muscat-b", "muscat-c", "muscat-d"] as const;
const OBJECTS = new URL(
  "../../../../../examples/batinah/objects",
  import.meta.url,
);

/** Al Batinah: 4 zones, 6 daemons, 13 model engines and 4 auction desks. */
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
      pool: "auction-desks",
      targets: spreadOverZones("desk", 4, ZONES),
      settings: { runMs: 20 },
    },
  ],
  objects: fileURLToPath(OBJECTS),
  zoneDelayMs: 3.5,
};
