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
import { findGuaranteeViolations } from "./guarantee_violations.ts";
import {
  readDump,
  waitForMemberState,
  waitUntilAllLive,
} from "./daemon_dump.ts";

const TIMEOUT_MS = 300_000;
/** Longer than every timeout that detects a pause or declares a daemon dead. */
const PAUSE_MS = 6000;
const FAULT_FREE_MS = 2000;

describe("a daemon that fails under load", () => {
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

  /** Checks with a load without faults that the fleet serves as before. */
  async function expectFaultFreeService(): Promise<void> {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    await sleep(FAULT_FREE_MS);
    expect(findIncomplete(await load.finish())).toEqual([]);
  }

  it("violates no guarantee when it is suspended and resumed", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const paused = fleet.daemon("entry-2");
    const others = fleet.daemons.filter((it) => it !== paused);
    const before = await readDump(paused);
    await sleep(FAULT_FREE_MS);
    paused.process.pause();
    await waitForMemberState(others, paused.vm, ["dead"]);
    await sleep(PAUSE_MS);
    paused.process.resume();
    await paused.process.waitForLine(
      "detection of its pause",
      (line) => line["eventName"] === "pauseNoticed",
    );
    await waitUntilAllLive(fleet);
    const after = await readDump(paused);
    expect(after.controllers.membership.incarnation)
      .toBeGreaterThan(before.controllers.membership.incarnation);
    expect(after.controllers.membership.mandateValid).toBe(true);
    const results = await load.finish();
    const runs = await fleet.targets.read("runs");
    expect(findGuaranteeViolations(results, runs)).toEqual([]);
    await expectFaultFreeService();
  }, TIMEOUT_MS);

  it("violates no guarantee when it is killed and replaced", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const killed = fleet.daemon("entry-3");
    const others = fleet.daemons.filter((it) => it !== killed);
    await sleep(FAULT_FREE_MS);
    await killed.process.kill();
    await waitForMemberState(others, killed.vm, ["dead"]);
    await sleep(FAULT_FREE_MS);
    const plan = BARANDAS_PLAN.daemons.find((it) => it.vm === killed.vm)!;
    await fleet.startDaemon(plan);
    await waitUntilAllLive(fleet);
    const results = await load.finish();
    const runs = await fleet.targets.read("runs");
    expect(findGuaranteeViolations(results, runs)).toEqual([]);
    await expectFaultFreeService();
  }, TIMEOUT_MS);
});
