import { describe, expect, it } from "@jest/globals";
import { KeeperTable } from "./keeper_table.ts";

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
    const table = new KeeperTable();
    table.update(targets, daemons);
    const before = targets.map((target) => table.keeperOf(target)!.vm);
    expect(table.update(targets, daemons)).toBe(false);
    expect(table.update(targets, daemons.slice(1))).toBe(true);
    targets.forEach((target, i) => {
      const keeper = table.keeperOf(target)!.vm;
      if (before[i] === daemons[0]!.vm) expect(keeper).not.toBe(before[i]);
      else expect(keeper).toBe(before[i]);
    });
  });

  it("keeps each target in its own zone, else in the next one", () => {
    const daemons = names(3, 2, "entry");
    const targets = names(3, 30, "target");
    const table = new KeeperTable();
    table.update(targets, daemons);
    const zoneOf = new Map(daemons.map((d) => [d.vm, d.availabilityZone]));
    for (const target of targets) {
      const keeper = table.keeperOf(target)!;
      expect(zoneOf.get(keeper.vm)).toBe(target.availabilityZone);
      expect(keeper.isFallback).toBe(false);
    }
    const rest = daemons.filter((d) => d.availabilityZone !== "zone-2");
    table.update(targets, rest);
    for (const target of targets) {
      const keeper = table.keeperOf(target)!;
      const isOrphan = target.availabilityZone === "zone-2";
      expect(keeper.isFallback).toBe(isOrphan);
      if (isOrphan) expect(zoneOf.get(keeper.vm)).toBe("zone-0");
    }
    table.update(targets, []);
    expect(table.keeperOf(targets[0]!)).toBeUndefined();
  });

  it("gives every daemon a part of its zone's targets", () => {
    const daemons = names(1, 20, "entry");
    const targets = names(1, 1000, "target");
    const table = new KeeperTable();
    table.update(targets, daemons);
    const counts = daemons.map((daemon) => table.targetsOf(daemon.vm).length);
    expect(counts.reduce((a, b) => a + b, 0)).toBe(1000);
    expect(Math.min(...counts)).toBeGreaterThan(0);
  });

  it("gives a small pool one keeper, in any zone of the pool", () => {
    const daemons = names(4, 2, "entry");
    const targets = names(3, 5, "target");
    const table = new KeeperTable();
    table.update(targets, daemons);
    const keeper = table.keeperOf(targets[0]!)!;
    expect(table.targetsOf(keeper.vm)).toHaveLength(targets.length);
    const zoneOf = new Map(daemons.map((d) => [d.vm, d.availabilityZone]));
    expect(zoneOf.get(keeper.vm)).not.toBe("zone-3");
    table.update(targets, daemons.filter((d) => d.vm !== keeper.vm));
    const next = table.keeperOf(targets[0]!)!;
    expect(next.vm).not.toBe(keeper.vm);
    expect(table.targetsOf(next.vm)).toHaveLength(targets.length);
  });
});
