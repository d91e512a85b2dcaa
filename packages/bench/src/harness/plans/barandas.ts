import { fileURLToPath } from "node:url";
import { type FleetPlan, spreadOverZones } from "../fleet_plan.ts";

const ZONES = ["cordoba-a", "cordoba-b", "cordoba-c"] as const;
const OBJECTS = new URL(
  "../../../../../examples/barandas/objects",
  import.meta.url,
);

/** Barandas: 3 zones, 6 daemons, 13 model engines and 3 booking services. */
export const BARANDAS_PLAN: FleetPlan = {
  name: "barandas",
  availabilityZones: ZONES,
  daemons: spreadOverZones("entry", 6, ZONES),
  pools: [
    {
      kind: "engine",
      pool: "models",
      targets: spreadOverZones("model", 13, ZONES),
      settings: { interTokenMs: 4 },
    },
    {
      kind: "service",
      pool: "booking-desks",
      targets: spreadOverZones("booking", 3, ZONES),
      settings: { runMs: 20 },
    },
  ],
  objects: fileURLToPath(OBJECTS),
  zoneDelayMs: 3,
};
