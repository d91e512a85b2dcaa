import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import { setTimeout as sleep } from "node:timers/promises";
import { BARANDAS_PLAN, Fleet, waitUntil } from "../harness/index.ts";
import {
  BARANDAS_NAMES,
  findIncomplete,
  SteadyLoad,
} from "../shutdown/steady_load.ts";
import { findGuaranteeViolations } from "./guarantee_violations.ts";
import {
  readDump,
  waitForMemberState,
  waitUntilAllLive,
} from "./daemon_dump.ts";

const TIMEOUT_MS = 300_000;
const CUT_MS = 6000;
const FAULT_FREE_MS = 2000;
const ZONE = "cordoba-b";

describe("a zone that is cut off from the others and the platform", () => {
  let fleet: Fleet;
  let load: SteadyLoad | undefined;

  beforeAll(async () => {
    fleet = await Fleet.start(BARANDAS_PLAN);
    await waitUntilAllLive(fleet);
  }, TIMEOUT_MS);

  afterEach(() => load?.stop());

  afterAll(async () => {
    await fleet?.stop();
  });

  it(
    "breaks no promise, twice in a row, and serves chats meanwhile",
    async () => {
      const inside = fleet.daemons.filter((it) => it.availabilityZone === ZONE);
      const outside = fleet.daemons.filter((it) =>
        it.availabilityZone !== ZONE
      );
      for (let round = 0; round < 2; round++) {
        load = new SteadyLoad(fleet, BARANDAS_NAMES);
        await sleep(FAULT_FREE_MS);
        fleet.links!.cutZone(ZONE, { platform: true });
        for (const { vm } of inside) {
          await waitForMemberState(outside, vm, ["suspect", "dead"]);
        }
        await waitUntil("the cut zone to detect the partition", async () => {
          const dumps = await Promise.all(inside.map(readDump));
          return dumps.every((dump) =>
            dump.controllers.membership.unreachableZones.length === 2
          );
        });
        const loadDuringCut = new SteadyLoad(fleet, BARANDAS_NAMES);
        await sleep(CUT_MS);
        const chats = (await loadDuringCut.finish())
          .filter((result) => result.kind === "stream");
        fleet.links!.healZone(ZONE);
        await waitUntilAllLive(fleet);
        const results = await load.finish();
        const runs = await fleet.targets.read("runs");
        expect(findGuaranteeViolations(results, runs)).toEqual([]);
        expect(findIncomplete(chats)).toEqual([]);
        load = new SteadyLoad(fleet, BARANDAS_NAMES);
        await sleep(FAULT_FREE_MS);
        expect(findIncomplete(await load.finish())).toEqual([]);
        await fleet.targets.reset();
      }
    },
    TIMEOUT_MS,
  );
});
