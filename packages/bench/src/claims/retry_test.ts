import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
  Fleet,
  FleetClient,
  type FleetPlan,
  SMALL_PLAN,
} from "../harness/index.ts";

const ZONE = "zone-a";
const SERVICES = ["desk-1", "desk-2", "desk-3", "desk-4"];
const FAILING = SERVICES.slice(0, 2);
const REQUESTS = 600;
const CLIENTS = 20;
/** Goal: retries increase the offered load by at most this factor. */
const ALLOWED_LOAD_RATIO = 1.1;
/** Retries that the budget of one daemon may have accumulated. */
const MAX_BUDGETED_RETRIES = 10;

const PLAN: FleetPlan = {
  ...SMALL_PLAN,
  name: "retries",
  pools: [{
    kind: "service",
    pool: "desks",
    targets: SERVICES.map((vm) => ({ vm, availabilityZone: ZONE })),
    settings: { runMs: 2 },
  }],
  objects: [
    { kind: "team", name: "lots" },
    { kind: "service", name: "desk" },
    { kind: "pool", name: "desks", service: "desk", loadFactor: 10 },
    {
      kind: "route",
      name: "bids",
      protocol: "service",
      pool: "desks",
      idempotent: true,
    },
  ],
};

let fleet: Fleet;
const client = new FleetClient();

beforeEach(async () => {
  fleet = await Fleet.start(PLAN);
});

afterEach(async () => {
  await fleet.stop();
});

/** Sends the requests concurrently; returns how many were completed. */
async function sendAll(): Promise<number> {
  let next = 0;
  let completed = 0;
  const runClient = async () => {
    while (next < REQUESTS) {
      const index = next++;
      const daemon = fleet.daemons[index % fleet.daemons.length]!;
      const result = await client.service(daemon.url, {
        team: "lots",
        route: "bids",
        path: "/status",
        body: String(index),
      });
      if (result.status === 200) completed += 1;
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, runClient));
  return completed;
}

async function countExecutions(): Promise<number> {
  return (await fleet.targets.read("runs")).length;
}

describe("an outage of half the targets", () => {
  it("does not multiply the load if they execute requests and fail them", async () => {
    for (const vm of FAILING) {
      await fleet.targets.setFaults(vm, { failStatus: 500 });
    }
    await sendAll();
    expect(await countExecutions()).toBeLessThanOrEqual(
      REQUESTS * ALLOWED_LOAD_RATIO +
        MAX_BUDGETED_RETRIES * fleet.daemons.length,
    );
  });

  it("fails no request if nothing listens on them", async () => {
    for (const vm of FAILING) {
      await fleet.targets.setFaults(vm, { down: true });
    }
    expect(await sendAll()).toBe(REQUESTS);
    expect(await countExecutions()).toBe(REQUESTS);
  });
});
