import { describe, expect, it } from "@jest/globals";
import { type FleetObject, objectSchema } from "@coltsfootford/core";
import { FakeConfigFleet } from "./testing/index.ts";

/** Time within which every daemon must apply a published configuration. */
const APPLY_DEADLINE_MS = 9_000;

function createTeams(count: number, shareWeight = 1): FleetObject[] {
  return Array.from({ length: count }, (_item, index) =>
    objectSchema.parse({
      kind: "team",
      name: `team-${index}`,
      shareWeight: index === 0 ? shareWeight : 1,
    }));
}

function createFleet(zones: number, daemonsPerZone: number): FakeConfigFleet {
  const fleet = new FakeConfigFleet();
  for (let zone = 0; zone < zones; zone++) {
    for (let index = 0; index < daemonsPerZone; index++) {
      fleet.create(`entry-${zone}-${index}`, `zone-${zone}`);
    }
  }
  return fleet;
}

describe("ConfigController", () => {
  it("applies a change on every daemon in time, with few watches", async () => {
    const fleet = createFleet(3, 30);
    const objects = createTeams(500);
    await fleet.publish(1, objects);
    await fleet.startAll();
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    expect(fleet.listOutdated(1)).toEqual([]);
    const watches = fleet.nodes.reduce(
      (sum, node) => sum + node.keyValue.calls.watches,
      0,
    );
    expect(watches).toBe(9);
    const partBytesBefore = fleet.network.partBytes;
    const { texts } = await fleet.publish(2, createTeams(500, 7));
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    expect(fleet.listOutdated(2)).toEqual([]);
    const setBytes = [...texts.values()].join("").length;
    const bytesPerDaemon = (fleet.network.partBytes - partBytesBefore) / 90;
    expect(bytesPerDaemon).toBeLessThan(setBytes / 20);
  });

  it("reaches daemons below a relay that hangs", async () => {
    const fleet = createFleet(2, 20);
    await fleet.publish(1, createTeams(20));
    await fleet.startAll();
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    const isolated = fleet.nodes.filter((node) =>
      node.keyValue.calls.watches > 0
    )
      .slice(0, 2);
    for (const node of isolated) {
      fleet.network.isolate(node.vm);
      node.keyValue.setDown(true);
    }
    await fleet.publish(2, createTeams(20, 2));
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    expect(fleet.listOutdated(2)).toEqual(isolated.map((node) => node.vm));
  });

  it("applies its peers' highest revision if it starts while partitioned", async () => {
    const fleet = createFleet(2, 3);
    await fleet.publish(1, createTeams(3));
    await fleet.startAll();
    fleet.nodes.slice(0, 3).forEach((node) => node.keyValue.setDown(true));
    fleet.network.partitionZone("zone-0");
    await fleet.publish(2, createTeams(3, 2));
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    const late = fleet.create("entry-0-late", "zone-0");
    late.keyValue.setDown(true);
    const started = late.controller.start();
    await fleet.advanceTime(2_000);
    await started;
    expect(late.revision()).toBe(1);
    fleet.network.healPartitions();
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    expect(fleet.listOutdated(2)).toEqual([]);
  });

  it("rejects a restored platform, and a new daemon follows its peers", async () => {
    const fleet = createFleet(1, 4);
    await fleet.publish(1, createTeams(3));
    const backup = fleet.store.backup();
    await fleet.startAll();
    await fleet.publish(2, createTeams(3, 2));
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    fleet.store.restore(backup);
    fleet.nodes.forEach((node) => node.keyValue.endWatches());
    const late = fleet.create("entry-0-late", "zone-0");
    const started = late.controller.start();
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    await started;
    expect(fleet.listOutdated(2)).toEqual([]);
    expect(late.events).toContain("configApplied ");
    expect(late.events.filter((event) => event.startsWith("configApplied")))
      .toHaveLength(1);
    const rejecting = fleet.nodes.filter((node) =>
      node.events.includes("configRefused older-revision")
    );
    expect(rejecting.length).toBeGreaterThan(0);
    await fleet.publish(3, createTeams(3, 3));
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    expect(fleet.listOutdated(3)).toEqual([]);
  });

  it("keeps its configuration during a platform outage and catches up", async () => {
    const fleet = createFleet(1, 4);
    await fleet.publish(1, createTeams(3));
    await fleet.startAll();
    fleet.nodes.forEach((node) => node.keyValue.setDown(true));
    await fleet.publish(2, createTeams(3, 2));
    await fleet.advanceTime(60_000);
    expect(fleet.listOutdated(1)).toEqual([]);
    fleet.nodes.forEach((node) => node.keyValue.setDown(false));
    await fleet.advanceTime(APPLY_DEADLINE_MS);
    expect(fleet.listOutdated(2)).toEqual([]);
  });
});
