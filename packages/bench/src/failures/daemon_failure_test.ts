import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import { setTimeout as sleep } from "node:timers/promises";
import { BARANDAS_PLAN, Fleet } from "../harness/index.ts";
import {
  BARANDAS_NAMES,
  findIncomplete,
  SteadyLoad,
} from "../shutdown/steady_load.ts";
import { findBrokenPromises } from "./judge.ts";
import { readDump, waitForState, waitUntilWhole } from "./views.ts";

const LIMIT_MS = 300_000;
/** Longer than every limit after which a pause is noticed or believed dead. */
const PAUSE_MS = 6000;
const CALM_MS = 2000;

describe("a daemon that fails under load", () => {
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

  /** A calm load at the end shows that the fleet serves as before. */
  async function expectCalm(): Promise<void> {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    await sleep(CALM_MS);
    expect(findIncomplete(await load.finish())).toEqual([]);
  }

  it("breaks no promise when it is stopped and resumed", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const paused = fleet.daemon("entry-2");
    const others = fleet.daemons.filter((it) => it !== paused);
    const before = await readDump(paused);
    await sleep(CALM_MS);
    paused.process.pause();
    await waitForState(others, paused.vm, ["dead"]);
    await sleep(PAUSE_MS);
    paused.process.resume();
    await paused.process.waitForLine(
      "notice of its pause",
      (line) => line["eventName"] === "pauseNoticed",
    );
    await waitUntilWhole(fleet);
    const after = await readDump(paused);
    expect(after.controllers.membership.incarnation)
      .toBeGreaterThan(before.controllers.membership.incarnation);
    expect(after.controllers.membership.mandateValid).toBe(true);
    const results = await load.finish();
    const runs = await fleet.targets.read("runs");
    expect(findBrokenPromises(results, runs)).toEqual([]);
    await expectCalm();
  }, LIMIT_MS);

  it("breaks no promise when it is killed and replaced", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const killed = fleet.daemon("entry-3");
    const others = fleet.daemons.filter((it) => it !== killed);
    await sleep(CALM_MS);
    await killed.process.kill();
    await waitForState(others, killed.vm, ["dead"]);
    await sleep(CALM_MS);
    const plan = BARANDAS_PLAN.daemons.find((it) => it.vm === killed.vm)!;
    await fleet.startDaemon(plan);
    await waitUntilWhole(fleet);
    const results = await load.finish();
    const runs = await fleet.targets.read("runs");
    expect(findBrokenPromises(results, runs)).toEqual([]);
    await expectCalm();
  }, LIMIT_MS);
});
