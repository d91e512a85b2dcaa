import type { Deployment, LoadOptions } from "../load/index.ts";
import { TRUST } from "../load/index.ts";
import type { FaultPlanOptions } from "./faults.ts";

/** Hourly churn of targets, in addition to daemon and zone faults. */
const CHURN = {
  restartsPerHour: 6,
  replacementsPerHour: 6,
  blipsPerHour: 4,
  flappingTargets: 2,
};

/** Fault plan options of every contender, at the fleet size of a deployment. */
export function churnOptions(
  deployment: Deployment,
  seed: number,
): FaultPlanOptions {
  return {
    seed,
    targets: deployment.targets,
    daemons: deployment.daemons,
    zones: deployment.zones,
    ...CHURN,
    hasDaemonFaults: true,
    hasZoneCut: deployment.zones.length > 1,
  };
}

/** Hundreds of daemons in one zone, with one or two targets per daemon. */
export const LARGE_ZONE: Deployment = {
  ...TRUST,
  name: "large-zone",
  zones: ["zone-1"],
  zoneDelayMs: 1,
  daemons: 192,
  targets: 200,
  calmRequestsPerSecond: 3_000,
  surgeFactor: 1.5,
};

/** A short load for the large zone, to measure the bound and the bytes. */
export const LARGE_ZONE_LOAD: Omit<LoadOptions, "seed"> = {
  calmMs: 40_000,
  weekendMs: 0,
  surgeMs: 20_000,
  afterMs: 0,
};
