import { fileURLToPath } from "node:url";
import type {
  EngineSettings,
  ProcessSettings,
  ReadyEvent,
  ServiceSettings,
} from "@coltsfootford/standins";
import type { FleetPlan, PoolPlan } from "./fleet_plan.ts";
import { ManagedProcess } from "./managed_process.ts";
import type { SettingsFiles } from "./settings_files.ts";
import { StandInClient } from "./stand_in_client.ts";

const STAND_IN_SCRIPT = fileURLToPath(
  new URL("../../../standins/dist/main.js", import.meta.url),
);
const DEFAULT_VM_LIST_LAG_MS = 200;

/** The part of the settings that lists targets. */
interface TargetSettings {
  readonly engines: EngineSettings[];
  readonly services: ServiceSettings[];
}

/** A process of stand-ins with a client of its control port. */
export interface StandIns {
  readonly process: ManagedProcess;
  readonly client: StandInClient;
  /** Port of each stand-in by its name. */
  readonly ports: Readonly<Record<string, number>>;
}

/** Starts a process of stand-ins and waits until all its ports are open. */
export async function startStandIns(
  name: string,
  settings: ProcessSettings,
  files: SettingsFiles,
): Promise<StandIns> {
  const path = files.write(name, settings);
  const process = ManagedProcess.start(name, STAND_IN_SCRIPT, [
    "--settings",
    path,
  ]);
  const line = await process.waitForLine(
    "readiness",
    (candidate) => candidate["event"] === "ready",
  );
  const { controlPort, ports } = line as unknown as ReadyEvent;
  return { process, client: new StandInClient(controlPort), ports };
}

/** Settings of the process that runs all targets of a plan. */
export function createTargetSettings(plan: FleetPlan): ProcessSettings {
  const settings: TargetSettings = { engines: [], services: [] };
  let seed = 1;
  for (const pool of plan.pools) addPool(settings, pool, () => seed++);
  return settings;
}

/** Settings of the process that runs the platform of a plan. */
export function createPlatformSettings(plan: FleetPlan): ProcessSettings {
  const lagMs = plan.vmListLagMs ?? DEFAULT_VM_LIST_LAG_MS;
  return {
    platforms: [{ name: "platform" }],
    vmLists: plan.availabilityZones.map((zone) => ({
      name: vmListName(zone),
      lagMs,
    })),
    weightStores: [{ name: "weight-store" }],
  };
}

/** Name of a zone's VM list; its ports are those reachable from that zone. */
export function vmListName(availabilityZone: string): string {
  return `vm-list-${availabilityZone}`;
}

function addPool(
  settings: TargetSettings,
  pool: PoolPlan,
  nextSeed: () => number,
): void {
  for (const { vm } of pool.targets) {
    const common = { name: vm, pool: pool.pool };
    if (pool.kind === "engine") {
      const seed = nextSeed();
      settings.engines.push({ ...pool.settings, ...common, seed });
    } else settings.services.push({ ...pool.settings, ...common });
  }
}
