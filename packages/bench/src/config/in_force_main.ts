import type { FleetPlan } from "../harness/index.ts";
import { CONFIG_PLAN } from "./config_fleet.ts";
import { HINDRANCES, measureInForce } from "./in_force.ts";

/** Prints how long publications take to be in force, under hindrances. */
const PUBLICATIONS = 10;

const ZONES = ["zone-a", "zone-b", "zone-c"];
/** Four daemons in each of three zones, so that one in each does not watch. */
const PLAN: FleetPlan = {
  ...CONFIG_PLAN,
  availabilityZones: ZONES,
  daemons: ZONES.flatMap((availabilityZone) =>
    [1, 2, 3, 4].map((number) => ({
      vm: `entry-${availabilityZone}-${number}`,
      availabilityZone,
    }))
  ),
};

const rows = [];
for (const hindrance of HINDRANCES) {
  rows.push(await measureInForce(PLAN, hindrance, PUBLICATIONS));
}
console.table(rows);
