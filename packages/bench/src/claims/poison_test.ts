import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { request } from "undici";
import {
  Fleet,
  FleetClient,
  type FleetPlan,
  SMALL_PLAN,
} from "../harness/index.ts";

const POISON_MARKER = "crash-this-engine";
const WRITERS = ["writer-1", "writer-2", "writer-3"];
const ENTRIES = ["entry-1", "entry-2", "entry-3"];
const NORMAL_REQUESTS = 24;
const RESENDS = 6;
/** Two zones, so that a detection in one zone must reach the other zone. */
const ZONES = ["zone-a", "zone-b"] as const;

const PLAN: FleetPlan = {
  ...SMALL_PLAN,
  name: "poison",
  availabilityZones: ZONES,
  daemons: ENTRIES.map((vm, index) => ({
    vm,
    availabilityZone: ZONES[index === 2 ? 1 : 0],
  })),
};

let fleet: Fleet;
const client = new FleetClient();

beforeEach(async () => {
  fleet = await Fleet.start(PLAN);
  for (const vm of WRITERS) {
    await fleet.targets.setFaults(vm, {
      poisonMarkers: [POISON_MARKER],
      restartAfterMs: 300,
    });
  }
});

afterEach(async () => {
  await fleet.stop();
});

async function countCrashes(): Promise<number> {
  const { standIns } = await fleet.targets.readRecords();
  return WRITERS.reduce(
    (sum, vm) => sum + Number(standIns[vm]?.["crashes"] ?? 0),
    0,
  );
}

/** Sends the poison request; returns the status and the outcome. */
async function sendPoison(vm: string): Promise<string> {
  const response = await request(
    `${fleet.daemon(vm).url}/v1/chat/completions`,
    {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-coltsfoot-team": "lots",
      },
      body: JSON.stringify({
        model: "writer",
        max_tokens: 50,
        messages: [{ role: "user", content: POISON_MARKER }],
      }),
    },
  );
  await response.body.dump();
  const outcome = response.headers["x-coltsfoot-outcome"];
  return `${response.statusCode} ${outcome}`;
}

describe("a request that crashes targets", () => {
  it("crashes at most two targets over all zones, and other requests succeed", async () => {
    const normalRequests = Array.from(
      { length: NORMAL_REQUESTS },
      (_, index) =>
        client.chat(fleet.daemon(ENTRIES[index % ENTRIES.length]!).url, {
          team: "lots",
          chat: `chat-${index}`,
          model: "writer",
          messages: [{ role: "user", content: `describe lot ${index}` }],
          maxTokens: 300,
          isStream: index % 2 === 0,
        }),
    );
    const poisonResponses: string[] = [];
    for (let resend = 0; resend < RESENDS; resend++) {
      poisonResponses.push(await sendPoison(ENTRIES[resend % ENTRIES.length]!));
    }
    expect(await countCrashes()).toBeLessThanOrEqual(2);
    expect(poisonResponses.slice(2)).toEqual(
      Array(RESENDS - 2).fill("422 not-run"),
    );
    for (const result of await Promise.all(normalRequests)) {
      expect(result).toMatchObject({ status: 200, isOwnAndComplete: true });
    }
    expect(await countCrashes()).toBeLessThanOrEqual(2);
  });
});
