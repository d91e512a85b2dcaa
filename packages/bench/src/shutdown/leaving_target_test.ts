import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  it,
} from "@jest/globals";
import { monotonicMs, type Run } from "@coltsfootford/standins";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { BARANDAS_PLAN, Fleet, waitUntil } from "../harness/index.ts";
import { BARANDAS_NAMES, findIncomplete, SteadyLoad } from "./steady_load.ts";

const LIMIT_MS = 300_000;
/** Within this time a leaving target gets no new work anywhere. */
const LEAVING_BOUND_MS = 3000;
/** How long the load goes on after that bound. */
const WATCHED_MS = 4000;

describe("a target that leaves under load, while the VM list says live", () => {
  let fleet: Fleet;
  let load: SteadyLoad | undefined;

  beforeAll(async () => {
    fleet = await Fleet.start(BARANDAS_PLAN);
  }, LIMIT_MS);

  afterEach(() => load?.stop());

  afterAll(async () => {
    await fleet?.stop();
  });

  async function runsOf(target: string): Promise<Run[]> {
    const runs = await fleet.targets.read("runs");
    return runs.filter((run) => run.target === target);
  }

  async function waitForWork(target: string): Promise<void> {
    await waitUntil(
      `work on ${target}`,
      async () => (await runsOf(target)).length > 0,
    );
  }

  it("gets no new work after 3 s when an operator drains it", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const target = "model-1";
    await waitForWork(target);
    // The stand-in itself would still take work, so its count is the proof.
    const response = await request(`${fleet.daemons[0]!.adminUrl}/drain`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ target }),
    });
    await response.body.dump();
    expect(response.statusCode).toBe(200);
    const leftAtMs = monotonicMs();
    await sleep(LEAVING_BOUND_MS + WATCHED_MS);
    expect(findIncomplete(await load.finish())).toEqual([]);
    const runs = await runsOf(target);
    const boundMs = leftAtMs + LEAVING_BOUND_MS;
    expect(runs.filter((run) => run.startedMonotonicMs > boundMs)).toEqual([]);
    expect(runs.filter((run) => run.end !== "completed")).toEqual([]);
  }, LIMIT_MS);

  it("is known everywhere after 3 s when it says so itself", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const target = "model-2";
    await waitForWork(target);
    await fleet.targets.setFaults(target, { leaving: true });
    const leftAtMs = monotonicMs();
    await waitUntil("every daemon to know", async () => {
      const dumps = await Promise.all(fleet.daemons.map((it) => it.dump()));
      return dumps.every((dump) =>
        (dump["targets"] as { name: string; state: string }[])
          .some((it) => it.name === target && it.state === "leaving")
      );
    });
    expect(monotonicMs() - leftAtMs).toBeLessThan(LEAVING_BOUND_MS);
    expect(findIncomplete(await load.finish())).toEqual([]);
    const runs = await runsOf(target);
    expect(runs.filter((run) => run.end !== "completed")).toEqual([]);
  }, LIMIT_MS);
});
