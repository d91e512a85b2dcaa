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
import { findBrokenPromises } from "./judge.ts";
import { readDump, waitForState, waitUntilWhole } from "./views.ts";

const LIMIT_MS = 300_000;
const CUT_MS = 6000;
const CALM_MS = 2000;
const ZONE = "cordoba-b";

describe("a zone that is cut off from the others and the platform", () => {
  let fleet: Fleet;
  let load: SteadyLoad | undefined;

  beforeAll(async () => {
    fleet = await Fleet.start(BARANDAS_PLAN);
    await waitUntilWhole(fleet);
  }, LIMIT_MS);

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
        await sleep(CALM_MS);
        fleet.links!.cutZone(ZONE, { platform: true });
        for (const { vm } of inside) {
          await waitForState(outside, vm, ["suspect", "dead"]);
        }
        await waitUntil("the cut zone to know", async () => {
          const dumps = await Promise.all(inside.map(readDump));
          return dumps.every((dump) =>
            dump.controllers.membership.unreachableZones.length === 2
          );
        });
        const settled = new SteadyLoad(fleet, BARANDAS_NAMES);
        await sleep(CUT_MS);
        const chats = (await settled.finish())
          .filter((result) => result.kind === "stream");
        fleet.links!.healZone(ZONE);
        await waitUntilWhole(fleet);
        const results = await load.finish();
        const runs = await fleet.targets.read("runs");
        expect(findBrokenPromises(results, runs)).toEqual([]);
        expect(findIncomplete(chats)).toEqual([]);
        load = new SteadyLoad(fleet, BARANDAS_NAMES);
        await sleep(CALM_MS);
        expect(findIncomplete(await load.finish())).toEqual([]);
        await fleet.targets.reset();
      }
    },
    LIMIT_MS,
  );
});
