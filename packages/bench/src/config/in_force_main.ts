/** Prints the times until publications are in force, per fault scenario. */
import type { FleetPlan } from "../harness/index.ts";
import { CONFIG_PLAN } from "./config_fleet.ts";
import { FAULT_SCENARIOS, measureInForce } from "./in_force.ts";

const PUBLICATION_COUNT = 10;

const ZONES = ["zone-a", "zone-b", "zone-c"];
/**
 * Four daemons in each of three zones. Three daemons of a zone are relays that
 * watch the platform, so one daemon in each zone depends on them.
 */
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
for (const scenario of FAULT_SCENARIOS) {
  rows.push(await measureInForce(PLAN, scenario, PUBLICATION_COUNT));
}
console.table(rows);
