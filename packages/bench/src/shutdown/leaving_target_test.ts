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

const TIMEOUT_MS = 300_000;
/** After this time no daemon sends new requests to a leaving target. */
const MAX_DRAIN_DELAY_MS = 3000;
/** How long the load continues after that time. */
const OBSERVATION_MS = 4000;

describe("a target that leaves under load, while the VM list says live", () => {
  let fleet: Fleet;
  let load: SteadyLoad | undefined;

  beforeAll(async () => {
    fleet = await Fleet.start(BARANDAS_PLAN);
  }, TIMEOUT_MS);

  afterEach(() => load?.stop());

  afterAll(async () => {
    await fleet?.stop();
  });

  async function readRunsOf(target: string): Promise<Run[]> {
    const runs = await fleet.targets.read("runs");
    return runs.filter((run) => run.target === target);
  }

  async function waitForExecution(target: string): Promise<void> {
    await waitUntil(
      `an execution on ${target}`,
      async () => (await readRunsOf(target)).length > 0,
    );
  }

  it("gets no new work after 3 s when an operator drains it", async () => {
    load = new SteadyLoad(fleet, BARANDAS_NAMES);
    const target = "model-1";
    await waitForExecution(target);
    // The stand-in itself still accepts requests while the daemons drain it, so
    // its recorded executions show whether a daemon sent any.
    const response = await request(`${fleet.daemons[0]!.adminUrl}/drain`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ target }),
    });
    await response.body.dump();
    expect(response.statusCode).toBe(200);
    const leftAtMs = monotonicMs();
    await sleep(MAX_DRAIN_DELAY_MS + OBSERVATION_MS);
    expect(findIncomplete(await load.finish())).toEqual([]);
    const runs = await readRunsOf(target);
    const lastAllowedStartMs = leftAtMs + MAX_DRAIN_DELAY_MS;
    expect(runs.filter((run) => run.startedMonotonicMs > lastAllowedStartMs))
      .toEqual([]);
    expect(runs.filter((run) => run.end !== "completed")).toEqual([]);
  }, TIMEOUT_MS);

  it(
    "is leaving on every daemon within 3 s when it reports so",
    async () => {
      load = new SteadyLoad(fleet, BARANDAS_NAMES);
      const target = "model-2";
      await waitForExecution(target);
      await fleet.targets.setFaults(target, { leaving: true });
      const leftAtMs = monotonicMs();
      await waitUntil(
        "every daemon to report the target as leaving",
        async () => {
          const dumps = await Promise.all(fleet.daemons.map((it) => it.dump()));
          return dumps.every((dump) =>
            (dump["targets"] as { name: string; state: string }[])
              .some((it) => it.name === target && it.state === "leaving")
          );
        },
      );
      expect(monotonicMs() - leftAtMs).toBeLessThan(MAX_DRAIN_DELAY_MS);
      expect(findIncomplete(await load.finish())).toEqual([]);
      const runs = await readRunsOf(target);
      expect(runs.filter((run) => run.end !== "completed")).toEqual([]);
    },
    TIMEOUT_MS,
  );
});
