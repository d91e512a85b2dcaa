import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
  Fleet,
  FleetClient,
  type FleetPlan,
  SMALL_PLAN,
} from "../harness/index.ts";

const POISON_MARKER = "crash-this-engine";
const WRITERS = ["writer-1", "writer-2", "writer-3"];
const ENTRIES = ["entry-1", "entry-2", "entry-3"];
/** Chats that share their first message and nothing else. */
const CHATS = 16;
/** Crashes of which the fleet may need all to learn of the message. */
const MAX_CRASHES = 5;

const PLAN: FleetPlan = {
  ...SMALL_PLAN,
  name: "poison-message",
  availabilityZones: ["zone-a"],
  daemons: ENTRIES.map((vm) => ({ vm, availabilityZone: "zone-a" })),
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

/** Sends the chats to the daemons in turn. */
async function sendChats(): Promise<void> {
  for (let index = 0; index < CHATS; index++) {
    await client.chat(fleet.daemon(ENTRIES[index % ENTRIES.length]!).url, {
      team: "lots",
      chat: `chat-${index}`,
      model: "writer",
      messages: [
        { role: "system", content: POISON_MARKER },
        { role: "user", content: `describe lot ${index}` },
      ],
      maxTokens: 50,
      isStream: index % 2 === 0,
    });
  }
}

describe("a first message that crashes targets", () => {
  // Guards against chats that share the message and nothing else, which crash
  // one target after the other since no two of them are alike.
  it("is rejected after a few crashes, whatever follows it", async () => {
    await sendChats();
    expect(await countCrashes()).toBeLessThanOrEqual(MAX_CRASHES);
  });

  // Guards against a message that is excused since its targets send some tokens
  // of each response before they crash.
  it.each([2, 10])(
    "is rejected after a few crashes that follow %s tokens",
    async (poisonAfterTokens) => {
      for (const vm of WRITERS) {
        await fleet.targets.setFaults(vm, { poisonAfterTokens });
      }
      await sendChats();
      expect(await countCrashes()).toBeLessThanOrEqual(MAX_CRASHES);
    },
  );
});
