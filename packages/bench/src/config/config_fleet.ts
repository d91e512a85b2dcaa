import {
  type FleetDaemon,
  type FleetPlan,
  waitUntil,
} from "../harness/index.ts";

const ZONES = ["zone-a", "zone-b"];
const DAEMONS_PER_ZONE = 2;
const ZONE_DELAY_MS = 3;

/** Two zones with two daemons each, no targets, and a delay between zones. */
export const CONFIG_PLAN: FleetPlan = {
  name: "config",
  availabilityZones: ZONES,
  daemons: ZONES.flatMap((availabilityZone) =>
    Array.from({ length: DAEMONS_PER_ZONE }, (_item, index) => ({
      vm: `entry-${availabilityZone}-${index + 1}`,
      availabilityZone,
    }))
  ),
  pools: [],
  objects: [],
  zoneDelayMs: ZONE_DELAY_MS,
  vmListLagMs: 0,
};

/** Fields of the configuration controller in a daemon's dump. */
export interface ConfigDump {
  readonly revision: number;
  readonly nonce?: string;
  readonly isPlatformReachable: boolean;
  /** The daemons to which the daemon relays a new set. */
  readonly children: readonly string[];
}

/** Reads the state of a daemon's configuration controller. */
export async function readConfig(daemon: FleetDaemon): Promise<ConfigDump> {
  const dump = await daemon.dump();
  const controllers = dump["controllers"] as Record<string, unknown>;
  return controllers["config"] as ConfigDump;
}

/** Waits until every daemon has the revision in force. */
export async function waitForRevision(
  daemons: readonly FleetDaemon[],
  revision: number,
): Promise<void> {
  for (const daemon of daemons) {
    await waitUntil(
      `revision ${revision} at ${daemon.vm}`,
      async () => (await readConfig(daemon)).revision === revision,
    );
  }
}
