import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { countRunsBy, type Run } from "../truth/index.ts";
import type { Vm } from "../vm_list/index.ts";
import { type ReadyEvent, StandInProcess } from "./stand_in_process.ts";

const VM = {
  name: "desk-1",
  role: "target",
  availabilityZone: "a",
  pool: "desk",
  host: "127.0.0.1",
  port: 1,
} as const;

describe("StandInProcess", () => {
  let running: StandInProcess;
  let ready: ReadyEvent;

  beforeEach(async () => {
    running = await StandInProcess.start({
      services: [{ name: "desk-1", pool: "desk", runMs: 0 }],
      vmLists: [{ vms: [VM], lagMs: 60_000 }],
      weightStores: [{ burstFetches: 1 }],
    });
    ready = running.readyEvent;
  });

  afterEach(async () => {
    await running.close();
  });

  function postBid(key: string): Promise<Response> {
    return fetch(`http://127.0.0.1:${ready.ports["desk-1"]}/bids`, {
      method: "POST",
      headers: { "idempotency-key": key, "x-request-id": `r-${key}` },
      body: "{}",
    });
  }

  async function callControlPort(path: string, body?: unknown) {
    const response = await fetch(
      `http://127.0.0.1:${ready.controlPort}${path}`,
      body === undefined ? {} : { method: "POST", body: JSON.stringify(body) },
    );
    const json = await response.json() as { runs: Run[]; error: string };
    return { status: response.status, body: json };
  }

  it("counts a run whose response is lost, but not a call closed before its run", async () => {
    await callControlPort("/faults", {
      standIn: "desk-1",
      loseAnswers: true,
      remainingRequests: 1,
    });
    await expect(postBid("lost")).rejects.toThrow();
    const retried = await postBid("lost");
    await callControlPort("/faults", {
      standIn: "desk-1",
      loseAnswers: false,
      closeBeforeRun: true,
      remainingRequests: 1,
    });
    await expect(postBid("closed")).rejects.toThrow();
    const truth = await callControlPort("/truth?part=runs");
    const counts = countRunsBy(truth.body.runs, "idempotencyKey");
    expect(retried.headers.get("idempotency-key")).toBe("lost");
    expect(Object.fromEntries(counts)).toEqual({ lost: 2 });
  });

  it("rejects an unknown fault and an unknown stand-in", async () => {
    const wrong = await callControlPort("/faults", {
      standIn: "desk-1",
      slow: 1,
    });
    const unknown = await callControlPort("/faults", { standIn: "desk-9" });
    expect([wrong.status, unknown.status]).toEqual([400, 404]);
    expect(wrong.body.error).toContain("slow");
  });

  it("publishes a change of the VM list only after its lag", async () => {
    const list = () =>
      fetch(`http://127.0.0.1:${ready.ports["vm-list"]}/v1/vms`)
        .then((response) => response.json() as Promise<{ vms: Vm[] }>);
    await callControlPort("/faults", {
      standIn: "vm-list",
      states: { "desk-1": "leaving" },
    });
    expect((await list()).vms[0]?.state).toBe("live");
    await callControlPort("/faults", { standIn: "vm-list", lagMs: 0 });
    expect((await list()).vms[0]?.state).toBe("leaving");
  });

  it("limits the rate of weight fetches", async () => {
    const fetchWeights = () =>
      fetch(
        `http://127.0.0.1:${ready.ports["weight-store"]}/v1/weights/writer/1`,
      );
    const statuses = [
      (await fetchWeights()).status,
      (await fetchWeights()).status,
    ];
    expect(statuses).toEqual([200, 429]);
  });
});
