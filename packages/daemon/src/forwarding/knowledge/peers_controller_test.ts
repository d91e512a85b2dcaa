import { afterEach, describe, expect, it } from "@jest/globals";
import { KnowledgeFleet } from "./testing/knowledge_fleet.ts";

const DAEMONS = 6;
const SETTLE_MS = 6_000;
const LEASE_TTL_MS = 10_000;
const KEY = "coltsfootford/daemons/daemon-1";

let fleet: KnowledgeFleet;

afterEach(() => fleet.close());

async function startFleet(): Promise<void> {
  fleet = new KnowledgeFleet(1);
  fleet.publish(1);
  for (let index = 0; index < DAEMONS; index++) await fleet.startDaemon(index);
  await fleet.advance(SETTLE_MS);
}

/** How many other daemons list daemon 1. */
function countListing(): number {
  return fleet.daemons.filter(({ blackboard }) =>
    blackboard.peers.read().some(({ name }) => name === "daemon-1")
  ).length;
}

describe("the entry of a daemon", () => {
  // Guards against a daemon that stays off the list for good: the store executes
  // a registration late whose response was lost, and its lease is not renewed.
  it("survives a registration that is executed late", async () => {
    await startFleet();
    const { value } = fleet.store.range({ key: KEY }).entries[0]!;
    const leaseId = fleet.store.grantLease(LEASE_TTL_MS, fleet.nowMs);
    fleet.store.txn({
      compares: [],
      success: [{ kind: "put", key: KEY, value, leaseId }],
      failure: [],
    });
    await fleet.advance(3 * LEASE_TTL_MS, () => {
      expect(countListing()).toBe(DAEMONS - 1);
    });
  });

  it("is written again if it is deleted", async () => {
    await startFleet();
    fleet.remove(KEY);
    await fleet.advance(SETTLE_MS);
    expect(countListing()).toBe(DAEMONS - 1);
  });

  it("is written once where nothing happens to it", async () => {
    await startFleet();
    const { modRevision } = fleet.store.range({ key: KEY }).entries[0]!;
    await fleet.advance(3 * LEASE_TTL_MS);
    expect(fleet.store.range({ key: KEY }).entries[0]!.modRevision)
      .toBe(modRevision);
  });
});
