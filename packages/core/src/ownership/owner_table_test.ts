import { describe, expect, it } from "@jest/globals";
import { OwnerTable } from "./owner_table.ts";

function names(zones: number, each: number, kind: string) {
  return Array.from({ length: zones * each }, (_, i) => ({
    name: `${kind}-${i}`,
    vm: `${kind}-${i}`,
    availabilityZone: `zone-${i % zones}`,
    pool: "writers",
  }));
}

describe("KeeperTable", () => {
  it("moves only the targets of a daemon that leaves", () => {
    const daemons = names(2, 10, "entry");
    const targets = names(2, 100, "target");
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

  it("keeps each target in its own zone, else in the next one", () => {
    const daemons = names(3, 2, "entry");
    const targets = names(3, 30, "target");
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
      const isOrphan = target.availabilityZone === "zone-2";
      expect(owner.isFallback).toBe(isOrphan);
      if (isOrphan) expect(zoneOf.get(owner.vm)).toBe("zone-0");
    }
    table.update(targets, []);
    expect(table.ownerOf(targets[0]!)).toBeUndefined();
  });

  it("gives every daemon a part of its zone's targets", () => {
    const daemons = names(1, 20, "entry");
    const targets = names(1, 1000, "target");
    const table = new OwnerTable();
    table.update(targets, daemons);
    const counts = daemons.map((daemon) => table.targetsOf(daemon.vm).length);
    expect(counts.reduce((a, b) => a + b, 0)).toBe(1000);
    expect(Math.min(...counts)).toBeGreaterThan(0);
  });

  it("gives a small pool one keeper, in any zone of the pool", () => {
    const daemons = names(4, 2, "entry");
    const targets = names(3, 5, "target");
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
