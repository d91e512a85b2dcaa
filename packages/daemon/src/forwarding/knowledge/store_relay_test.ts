import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type KnowingDaemon,
  KnowledgeFleet,
} from "./testing/knowledge_fleet.ts";

/** The bounds of the platform for fleets that have relays. */
const APPLY_MS = 3_000;
const CONTACT_MS = 4_000;
const SETTLE_MS = 6_000;
const ZONES = 3;
const RELAYS_PER_ZONE = 2;
const TARGETS = 5;
const TEST_TIMEOUT_MS = 120_000;

let fleet: KnowledgeFleet;
let version: number;

afterEach(() => fleet.close());

async function startFleet(daemons: number): Promise<void> {
  fleet = new KnowledgeFleet(daemons);
  version = 1;
  fleet.publish(version);
  for (let index = 0; index < TARGETS; index++) {
    fleet.register(`target-${index}`);
  }
  for (let index = 0; index < daemons; index++) await fleet.startDaemon(index);
  await fleet.advance(SETTLE_MS);
}

const followers = () =>
  fleet.daemons.filter(({ followsStore }) => followsStore);
const relaysOf = (zone: number) =>
  fleet.daemons.filter((daemon) => daemon.isRelay && daemon.zone === zone);
const inTouch = () =>
  fleet.daemons.filter((daemon) => !daemon.isFrozen && !fleet.isCut(daemon));

/** Publishes the next version; all daemons in touch have it in time. */
async function expectInForce(
  daemons: () => readonly KnowingDaemon[] = inTouch,
) {
  version += 1;
  fleet.publish(version);
  await fleet.advance(APPLY_MS);
  const behind = daemons().filter((daemon) => daemon.version !== version);
  expect(behind.map(({ index }) => index)).toEqual([]);
}

describe.each([6, 67, 195, 300])(
  "relays of the store at %i daemons",
  (size) => {
    // Guards against calls to the store that grow with the number of daemons.
    it("follow it for all others", async () => {
      await startFleet(size);
      const relays = ZONES * RELAYS_PER_ZONE;
      expect(followers()).toHaveLength(relays);
      const before = fleet.daemons.map(({ store }) => store.calls.reads);
      await expectInForce();
      const reading = fleet.daemons.filter(({ store }, index) =>
        store.calls.reads > before[index]!
      );
      expect(reading.length).toBeLessThanOrEqual(relays);
    }, TEST_TIMEOUT_MS);

    it("are replaced when all of a zone are killed", async () => {
      await startFleet(size);
      for (const { index } of relaysOf(0)) fleet.kill(index);
      await expectInForce();
    }, TEST_TIMEOUT_MS);
  },
);

const LARGE = "route".repeat(20_000);

describe("a large configuration behind relays", () => {
  // Guards against relays that send it to each daemon of their zone over a link
  // that is too narrow for that.
  it("is read from the store by each daemon", async () => {
    await startFleet(67);
    fleet.longestResponse = 0;
    version += 1;
    fleet.publish(version, LARGE);
    await fleet.advance(APPLY_MS);
    for (const daemon of fleet.daemons) expect(daemon.version).toBe(version);
    expect(fleet.longestResponse).toBeLessThan(LARGE.length / 2);
    expect(followers()).toHaveLength(ZONES * RELAYS_PER_ZONE);
  });

  it("comes from a relay where a daemon can't reach the store", async () => {
    await startFleet(67);
    const apart = fleet.daemons.find(({ isRelay }) => !isRelay)!;
    apart.store.setDown(true);
    version += 1;
    fleet.publish(version, LARGE);
    await fleet.advance(APPLY_MS);
    expect(apart.version).toBe(version);
  });
});

/** What makes a daemon's own read of a large value fail, or last. */
const READ_FAULTS: Record<string, (daemon: KnowingDaemon) => void> = {
  "is silent to it": ({ store }) => {
    store.faults.failureDelayMs = 1_500;
    store.setDown(true);
  },
  "turns it away": ({ store }) => store.setDown(true),
  "is slow to it": ({ store }) => {
    store.faults.responseDelayMs = 1_200;
  },
};

describe.each(Object.keys(READ_FAULTS))(
  "a daemon behind relays where the store %s",
  (fault) => {
    // Guards against a daemon that never applies a large configuration: it reads
    // it from the store, and names meanwhile what its relays told of other keys.
    it("applies a large configuration while other keys change", async () => {
      await startFleet(67);
      const daemon = fleet.daemons.find(({ isRelay }) => !isRelay)!;
      READ_FAULTS[fault]!(daemon);
      version += 1;
      fleet.publish(version, LARGE);
      let changes = 0;
      await fleet.advance(APPLY_MS, () => {
        changes += 1;
        fleet.register(`target-${changes % TARGETS}`, { sequence: changes });
      });
      expect(daemon.version).toBe(version);
      expect(daemon.targetIds).toHaveLength(TARGETS);
    }, TEST_TIMEOUT_MS);

    it("applies each of several in turn, and never an older one", async () => {
      await startFleet(67);
      const daemon = fleet.daemons.find(({ isRelay }) => !isRelay)!;
      READ_FAULTS[fault]!(daemon);
      let latest = version;
      for (let publish = 0; publish < 6; publish++) {
        version += 1;
        fleet.publish(version, LARGE);
        await fleet.advance(400, () => {
          expect(daemon.version).toBeGreaterThanOrEqual(latest);
          latest = daemon.version!;
          fleet.register("target-0", { sequence: fleet.nowMs });
        });
      }
      await fleet.advance(APPLY_MS);
      expect(daemon.version).toBe(version);
    }, TEST_TIMEOUT_MS);

    it("learns meanwhile which targets leave", async () => {
      await startFleet(67);
      const daemon = fleet.daemons.find(({ isRelay }) => !isRelay)!;
      READ_FAULTS[fault]!(daemon);
      version += 1;
      fleet.publish(version, LARGE);
      await fleet.advance(200);
      fleet.remove("targets/target-0");
      await fleet.advance(2_000);
      expect(daemon.targetIds).not.toContain("target-0");
    }, TEST_TIMEOUT_MS);
  },
);

describe.each([67, 195])("daemons behind relays, %i of them", (size) => {
  it("learn in time while the relays of a zone are frozen", async () => {
    await startFleet(size);
    for (const relay of relaysOf(0)) fleet.freeze(relay, true);
    await expectInForce();
    for (const daemon of fleet.daemons) fleet.freeze(daemon, false);
    await fleet.advance(CONTACT_MS);
    await expectInForce();
  }, TEST_TIMEOUT_MS);

  it("learn in time while all relays of a zone lose the store", async () => {
    await startFleet(size);
    for (const { store } of relaysOf(0)) store.setDown(true);
    await expectInForce();
  }, TEST_TIMEOUT_MS);

  it("learn in time while the relays of all zones lose the store", async () => {
    await startFleet(size);
    for (const relay of fleet.daemons.filter(({ isRelay }) => isRelay)) {
      relay.store.setDown(true);
    }
    await fleet.advance(CONTACT_MS);
    await expectInForce();
  }, TEST_TIMEOUT_MS);

  it(
    "serve on in a zone that is cut off, and learn after the cut",
    async () => {
      await startFleet(size);
      fleet.cutZone(0);
      await expectInForce();
      await fleet.advance(CONTACT_MS);
      for (const daemon of fleet.daemons.filter(({ zone }) => zone === 0)) {
        expect(daemon.targetIds).toHaveLength(TARGETS);
      }
      fleet.cutZone(undefined);
      await fleet.advance(CONTACT_MS);
      await expectInForce();
      await fleet.advance(SETTLE_MS);
      expect(followers()).toHaveLength(ZONES * RELAYS_PER_ZONE);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against daemons that take registrations which lapsed in an outage for
  // gone, since another daemon told them of the entries that are left.
  it("keep targets that lapsed while the store was away", async () => {
    await startFleet(size);
    fleet.setStoreDown(true);
    await fleet.advance(6_000);
    for (let index = 0; index < TARGETS; index++) {
      fleet.remove(`targets/target-${index}`);
    }
    fleet.setStoreDown(false);
    await fleet.advance(1_800, () => {
      for (const daemon of fleet.daemons) {
        expect(daemon.targetIds).toHaveLength(TARGETS);
      }
    });
    for (let index = 0; index < TARGETS; index++) {
      fleet.register(`target-${index}`);
    }
    await fleet.advance(CONTACT_MS, () => {
      for (const daemon of fleet.daemons) {
        expect(daemon.targetIds).toHaveLength(TARGETS);
      }
    });
  }, TEST_TIMEOUT_MS);
});
