import { describe, expect, it } from "@jest/globals";
import { disseminationLinksOf, rolesByZone, successorsOf } from "./topology.ts";

function ring(size: number): string[] {
  return Array.from({ length: size }, (_, i) => `vm-${i}`).sort();
}

describe("disseminationLinksOf", () => {
  it.each([1, 2, 3, 5, 24, 193])("reaches all of %i daemons", (size) => {
    const names = ring(size);
    const reached = new Set([names[0]!]);
    let steps = 0;
    for (let frontier = [names[0]!]; frontier.length > 0; steps++) {
      const next = frontier.flatMap((name) =>
        disseminationLinksOf(name, names, 3)
      );
      frontier = [...new Set(next)].filter((name) => !reached.has(name));
      for (const name of frontier) reached.add(name);
    }
    expect(reached.size).toBe(size);
    // Three powers of the ratio cross the ring in at most 3 * ratio steps.
    expect(steps).toBeLessThanOrEqual(3 * Math.ceil(size ** (1 / 3)) + 1);
  });
});

describe("successorsOf", () => {
  it("wraps around the ring and leaves out the daemon itself", () => {
    expect(successorsOf("c", ["a", "b", "c"], 3)).toEqual(["a", "b"]);
    expect(successorsOf("a", ["a"], 3)).toEqual([]);
  });
});

describe("rolesByZone", () => {
  it("distributes the first rank evenly over the daemons of a zone", () => {
    const zones = ["x", "y", "z", "w"];
    const roles = rolesByZone("report", "zone", zones, ["a", "b"], 2);
    const first = zones.map((zone) => roles.get(zone)![0]);
    expect(first.filter((name) => name === "a")).toHaveLength(2);
    expect(new Set(roles.get("x"))).toEqual(new Set(["a", "b"]));
  });
});
