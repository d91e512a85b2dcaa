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

/**
 * Prints the bytes at the peers' sockets that changes cost, with as many teams
 * as the design is for. The same time without changes is taken off.
 */
const TEAM_COUNT = 5_700;
const CHANGE_COUNT = 20;
const CHANGE_PERIOD_MS = 1_000;
const CHANGES_PER_DAY = 6_700;
const SECONDS_PER_DAY = 86_400;
const DAEMONS = 8;

const PLAN: FleetPlan = {
  ...CONFIG_PLAN,
  availabilityZones: ["zone-a"],
  daemons: Array.from({ length: DAEMONS }, (_item, index) => ({
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

/** Bytes sent and received at the peers' sockets of a daemon so far. */
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

/** Bytes of each daemon while `action` runs. */
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
  const firstMs = await publishAndWait(fleet, 0, 2);
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
  console.log(`first set of ${TEAM_COUNT} teams in force: ${firstMs | 0} ms`);
  console.table(fleet.daemons.map(({ vm }, index) => ({
    vm,
    bytesAChange: Math.round(perChange[index] ?? 0),
    bytesPerS: bytesPerS[index],
  })));
} finally {
  await fleet.stop();
}
