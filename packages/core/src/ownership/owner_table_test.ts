import { describe, expect, it } from "@jest/globals";
import { OwnerTable } from "./owner_table.ts";

function createMembers(zones: number, perZone: number, kind: string) {
  return Array.from({ length: zones * perZone }, (_, i) => ({
    name: `${kind}-${i}`,
    vm: `${kind}-${i}`,
    availabilityZone: `zone-${i % zones}`,
    pool: "writers",
  }));
}

describe("OwnerTable", () => {
  it("moves only the targets of a daemon that leaves", () => {
    const daemons = createMembers(2, 10, "entry");
    const targets = createMembers(2, 100, "target");
    const table = new OwnerTable();
    table.update(targets, daemons);
    const before = targets.map((target) => table.ownerOf(target)!.vm);
    expect(table.update(targets, daemons)).toBe(false);
    expect(table.update(targets, daemons.slice(1))).toBe(true);
    targets.forEach((target, i) => {
      const owner = table.ownerOf(target)!.vm;
      if (before[i] === daemons[0]!.vm) expect(owner).not.toBe(before[i]);
      else expect(owner).toBe(before[i]);
    });
  });

  it("assigns each target within its zone, else to the next zone", () => {
    const daemons = createMembers(3, 2, "entry");
    const targets = createMembers(3, 30, "target");
    const table = new OwnerTable();
    table.update(targets, daemons);
    const zoneOf = new Map(daemons.map((d) => [d.vm, d.availabilityZone]));
    for (const target of targets) {
      const owner = table.ownerOf(target)!;
      expect(zoneOf.get(owner.vm)).toBe(target.availabilityZone);
      expect(owner.isFallback).toBe(false);
    }
    const rest = daemons.filter((d) => d.availabilityZone !== "zone-2");
    table.update(targets, rest);
    for (const target of targets) {
      const owner = table.ownerOf(target)!;
      const hasNoDaemon = target.availabilityZone === "zone-2";
      expect(owner.isFallback).toBe(hasNoDaemon);
      if (hasNoDaemon) expect(zoneOf.get(owner.vm)).toBe("zone-0");
    }
    table.update(targets, []);
    expect(table.ownerOf(targets[0]!)).toBeUndefined();
  });

  it("assigns targets of the zone to every daemon", () => {
    const daemons = createMembers(1, 20, "entry");
    const targets = createMembers(1, 1000, "target");
    const table = new OwnerTable();
    table.update(targets, daemons);
    const counts = daemons.map((daemon) => table.targetsOf(daemon.vm).length);
    expect(counts.reduce((a, b) => a + b, 0)).toBe(1000);
    expect(Math.min(...counts)).toBeGreaterThan(0);
  });

  it("gives a small pool a single owner in a zone of the pool", () => {
    const daemons = createMembers(4, 2, "entry");
    const targets = createMembers(3, 5, "target");
    const table = new OwnerTable();
    table.update(targets, daemons);
    const owner = table.ownerOf(targets[0]!)!;
    expect(table.targetsOf(owner.vm)).toHaveLength(targets.length);
    const zoneOf = new Map(daemons.map((d) => [d.vm, d.availabilityZone]));
    expect(zoneOf.get(owner.vm)).not.toBe("zone-3");
    table.update(targets, daemons.filter((d) => d.vm !== owner.vm));
    const next = table.ownerOf(targets[0]!)!;
    expect(next.vm).not.toBe(owner.vm);
    expect(table.targetsOf(next.vm)).toHaveLength(targets.length);
  });
});
