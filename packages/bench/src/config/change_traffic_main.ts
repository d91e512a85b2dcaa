/**
 * Prints the bytes that a configuration change adds at the peer sockets of each
 * daemon. The traffic of an equally long period without changes is subtracted.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { sha256Hex } from "@coltsfootford/cli";
import {
  Fleet,
  type FleetDaemon,
  type FleetPlan,
  type ObjectInput,
  waitUntil,
} from "../harness/index.ts";
import { CONFIG_PLAN, readConfig } from "./config_fleet.ts";
import { publishObjects } from "./publish_objects.ts";

/** Number of teams that the design supports. */
const TEAM_COUNT = 5_700;
const CHANGE_COUNT = 20;
const CHANGE_PERIOD_MS = 1_000;
const CHANGES_PER_DAY = 6_700;
const SECONDS_PER_DAY = 86_400;
const DAEMON_COUNT = 8;

const PLAN: FleetPlan = {
  ...CONFIG_PLAN,
  availabilityZones: ["zone-a"],
  daemons: Array.from({ length: DAEMON_COUNT }, (_item, index) => ({
    vm: `entry-${index + 1}`,
    availabilityZone: "zone-a",
  })),
};

function createTeams(changedCount: number): ObjectInput[] {
  return Array.from({ length: TEAM_COUNT }, (_item, index) => ({
    kind: "team" as const,
    name: `team-${index}`,
    apiKeySha256: [sha256Hex(`key ${index}`), sha256Hex(`old ${index}`)],
    shareWeight: index < changedCount ? 99 : 1,
  }));
}

/** Reads the bytes that a daemon has sent and received at its peer sockets. */
async function readBytes(daemon: FleetDaemon): Promise<number> {
  const dump = await daemon.dump();
  const controllers = dump["controllers"] as Record<string, unknown>;
  const { traffic } = controllers["peer-addresses"] as {
    readonly traffic: {
      readonly sentBytes: number;
      readonly receivedBytes: number;
    };
  };
  return traffic.sentBytes + traffic.receivedBytes;
}

async function publishAndWait(
  fleet: Fleet,
  changedCount: number,
  revision: number,
): Promise<number> {
  const startMs = performance.now();
  await publishObjects(fleet.platformUrl, createTeams(changedCount), revision);
  for (const daemon of fleet.daemons) {
    await waitUntil(
      `revision ${revision} at ${daemon.vm}`,
      async () => (await readConfig(daemon)).revision === revision,
    );
  }
  return performance.now() - startMs;
}

/** Counts the bytes that each daemon transfers while `action` runs. */
async function countBytes(
  fleet: Fleet,
  action: () => Promise<void>,
): Promise<number[]> {
  const before = await Promise.all(fleet.daemons.map(readBytes));
  await action();
  const after = await Promise.all(fleet.daemons.map(readBytes));
  return after.map((bytes, index) => bytes - (before[index] ?? 0));
}

const fleet = await Fleet.start(PLAN);
try {
  const initialMs = await publishAndWait(fleet, 0, 2);
  const changes = await countBytes(fleet, async () => {
    for (let index = 1; index <= CHANGE_COUNT; index++) {
      const elapsedMs = await publishAndWait(fleet, index, index + 2);
      await sleep(Math.max(0, CHANGE_PERIOD_MS - elapsedMs));
    }
  });
  const idle = await countBytes(
    fleet,
    () => sleep(CHANGE_COUNT * CHANGE_PERIOD_MS).then(() => undefined),
  );
  const perChange = changes.map((bytes, index) =>
    (bytes - (idle[index] ?? 0)) / CHANGE_COUNT
  );
  const bytesPerS = perChange.map((bytes) =>
    Math.round(bytes * CHANGES_PER_DAY / SECONDS_PER_DAY)
  );
  console.log(`first set of ${TEAM_COUNT} teams in force: ${initialMs | 0} ms`);
  console.table(fleet.daemons.map(({ vm }, index) => ({
    vm,
    bytesAChange: Math.round(perChange[index] ?? 0),
    bytesPerS: bytesPerS[index],
  })));
} finally {
  await fleet.stop();
}
