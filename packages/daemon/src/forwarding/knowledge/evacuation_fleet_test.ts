import { afterEach, describe, expect, it } from "@jest/globals";
import { KnowledgeFleet } from "./testing/knowledge_fleet.ts";

const SIZES = [6, 67, 195, 300];
/** Time in which an evacuation has to be in force at all daemons. */
const EVACUATE_MS = 5_000;
const SETTLE_MS = 8_000;
const TARGETS = 6;
const TEST_TIMEOUT_MS = 60_000;
const ZONE = "zone";

let fleet: KnowledgeFleet;

afterEach(async () => {
  await fleet.close();
});

async function startFleet(size: number): Promise<void> {
  fleet = new KnowledgeFleet(1);
  fleet.publish(1);
  for (let target = 0; target < TARGETS; target++) {
    fleet.register(`target-${target}`);
  }
  for (let index = 0; index < size; index++) await fleet.startDaemon(index);
  await fleet.advance(SETTLE_MS);
}

/** The daemons that run and do not have exactly these zones in force. */
function findOthers(zones: readonly string[]): number[] {
  return fleet.daemons
    .filter(({ isFrozen, evacuatedZones }) =>
      !isFrozen && evacuatedZones.join() !== zones.join()
    )
    .map(({ index }) => index);
}

function relaysOfZone(zone: number) {
  return fleet.daemons.filter((daemon) =>
    daemon.zone === zone && daemon.isRelay
  );
}

describe.each(SIZES)("an evacuation, at %s daemons", (size) => {
  it("takes effect and ends everywhere in time", async () => {
    await startFleet(size);
    fleet.evacuate(ZONE);
    await fleet.advance(EVACUATE_MS);
    expect(findOthers([ZONE])).toEqual([]);
    fleet.takeBack(ZONE);
    await fleet.advance(EVACUATE_MS);
    expect(findOthers([])).toEqual([]);
  }, TEST_TIMEOUT_MS);

  // Guards against daemons that hear nothing from their relays.
  it("takes effect in time where all relays of a zone are killed", async () => {
    await startFleet(size);
    for (const { index } of relaysOfZone(0)) fleet.kill(index);
    fleet.evacuate(ZONE);
    await fleet.advance(EVACUATE_MS);
    expect(findOthers([ZONE])).toEqual([]);
  }, TEST_TIMEOUT_MS);

  // Guards against a daemon that starts with the targets of a peer alone.
  it(
    "is known to a daemon as soon as targets are, without the store",
    async () => {
      await startFleet(size);
      fleet.evacuate(ZONE);
      await fleet.advance(EVACUATE_MS);
      fleet.setStoreDown(true);
      await fleet.startDaemon(size);
      const started = fleet.daemons[size]!;
      started.store.setDown(true);
      await fleet.advance(EVACUATE_MS, () => {
        if (started.targetIds.length === 0) return;
        expect(started.evacuatedZones).toEqual([ZONE]);
      });
      expect(started.targetIds).toHaveLength(TARGETS);
      expect(findOthers([ZONE])).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
