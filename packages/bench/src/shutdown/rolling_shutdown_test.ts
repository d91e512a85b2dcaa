import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import { countRunsBy } from "@coltsfootford/standins";
import { BARANDAS_PLAN, Fleet } from "../harness/index.ts";
import { BARANDAS_NAMES, findIncomplete, SteadyLoad } from "./steady_load.ts";

const TIMEOUT_MS = 300_000;

describe("a rolling replacement of all daemons under load", () => {
  let fleet: Fleet;
  let load: SteadyLoad | undefined;

  beforeAll(async () => {
    fleet = await Fleet.start(BARANDAS_PLAN);
  }, TIMEOUT_MS);

  afterEach(() => load?.stop());

  afterAll(async () => {
    await fleet?.stop();
  });

  it("cuts no request and doubles none", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    for (const plan of BARANDAS_PLAN.daemons) {
      const exit = await fleet.daemon(plan.vm).process.terminate();
      expect({ vm: plan.vm, ...exit }).toEqual({
        vm: plan.vm,
        code: 0,
        signal: null,
      });
      await fleet.startDaemon(plan);
    }
    const results = await load.finish();
    const streams = results.filter((result) => result.kind === "stream");
    expect(streams.length).toBeGreaterThan(0);
    expect(findIncomplete(results)).toEqual([]);

    const runs = await fleet.targets.read("runs");
    expect(runs.filter((run) => run.end !== "completed")).toEqual([]);
    const executionCounts = countRunsBy(runs, "idempotencyKey");
    for (const { kind, name } of results) {
      if (kind === "booking") {
        expect([name, executionCounts.get(name)]).toEqual([name, 1]);
      }
    }
  }, TIMEOUT_MS);
});
