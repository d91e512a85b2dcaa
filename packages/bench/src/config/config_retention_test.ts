import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { EXIT_CODES } from "@coltsfootford/cli";
import { Fleet, type FleetDaemon, waitUntil } from "../harness/index.ts";
import { CONFIG_PLAN, readConfig, waitForRevision } from "./config_fleet.ts";
import { Operator } from "./operator.ts";

const TEST_LIMIT_MS = 120_000;
const EVENT_CONFIG_REFUSED = 2002;

let fleet: Fleet;
let operator: Operator;

const team = (shareWeight: number) => [
  { kind: "team" as const, name: "joiners", shareWeight },
];

async function publish(shareWeight: number, ...args: string[]) {
  operator.writeObjects("teams", team(shareWeight));
  return await operator.runCommand("publish", ...args);
}

const daemonsInZone = (zone: string): FleetDaemon[] =>
  fleet.daemons.filter((daemon) => daemon.availabilityZone === zone);

beforeEach(async () => {
  fleet = await Fleet.start(CONFIG_PLAN);
  operator = new Operator(fleet, "ana");
  // The harness has published revision 1.
  const first = await publish(1, "--base", "1", "--wait");
  expect(first).toMatchObject({ exitCode: 0, json: { revision: 2 } });
}, TEST_LIMIT_MS);

afterEach(async () => {
  operator?.remove();
  await fleet?.stop();
});

describe("a configuration in force", () => {
  it(
    "stays in force when the platform is restored to an older state",
    async () => {
      await fleet.platform.setFaults("platform", { saveSnapshot: true });
      expect((await publish(2, "--wait")).exitCode).toBe(0);
      await fleet.platform.setFaults("platform", { restoreSnapshot: true });
      for (const daemon of fleet.daemons) {
        await daemon.process.waitForLine(
          "rejection of the older head",
          (line) =>
            line["event"] === EVENT_CONFIG_REFUSED &&
            line["reason"] === "older-revision",
        );
        expect((await readConfig(daemon)).revision).toBe(3);
      }
      const late = await fleet.startDaemon({
        vm: "entry-zone-a-late",
        availabilityZone: "zone-a",
      });
      await waitForRevision([late], 3);
      const rejected = await publish(3);
      expect(rejected.exitCode).toBe(EXIT_CODES["platform-restored"]);
      const afterRestore = await publish(
        3,
        "--after-restore",
        "--base",
        "2",
        "--wait",
      );
      expect(afterRestore).toMatchObject({
        exitCode: 0,
        json: { revision: 4 },
      });
      await waitForRevision(fleet.daemons, 4);
    },
    TEST_LIMIT_MS,
  );

  it(
    "is fetched from peers by a daemon that starts without the platform",
    async () => {
      await fleet.links?.cutZone("zone-b", { platform: true });
      expect((await publish(2)).exitCode).toBe(0);
      await waitForRevision(daemonsInZone("zone-a"), 3);
      const late = await fleet.startDaemon({
        vm: "entry-zone-b-late",
        availabilityZone: "zone-b",
      });
      await waitForRevision([late], 2);
      expect((await readConfig(late)).isPlatformReachable).toBe(false);
      for (const daemon of daemonsInZone("zone-b")) {
        expect((await readConfig(daemon)).revision).toBe(2);
      }
      await fleet.links?.healZone("zone-b");
      await waitForRevision(fleet.daemons, 3);
    },
    TEST_LIMIT_MS,
  );

  it(
    "is replaced by the next one although the watches deliver nothing",
    async () => {
      await fleet.platform.setFaults("platform", { stallWatches: true });
      expect((await publish(2)).exitCode).toBe(0);
      await waitForRevision(fleet.daemons, 3);
    },
    TEST_LIMIT_MS,
  );

  it(
    "stays in force during an outage and is replaced after the outage",
    async () => {
      await fleet.platform.setFaults("platform", { down: true });
      const [first] = fleet.daemons;
      await first?.process.kill();
      await waitUntil("the other daemons", async () => {
        const dumps = await Promise.all(fleet.daemons.slice(1).map(readConfig));
        return dumps.every((dump) => dump.revision === 2);
      });
      await fleet.platform.setFaults("platform", { down: false });
      expect((await publish(2)).exitCode).toBe(0);
      await waitForRevision(fleet.daemons.slice(1), 3);
    },
    TEST_LIMIT_MS,
  );
});
