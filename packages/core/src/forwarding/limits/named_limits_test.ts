import { beforeEach, describe, expect, it } from "@jest/globals";
import { limitOwners, shareOfLimit } from "./limit_owners.ts";
import { NamedLimits } from "./named_limits.ts";

let limits: NamedLimits;

beforeEach(() => {
  limits = new NamedLimits();
});

const named = (requestsPerSecond: number | undefined) => ({
  target: "t",
  requestsPerSecond,
});

describe("NamedLimits", () => {
  it("has news where a target names a limit, another one or none", () => {
    expect(limits.recordNamed(named(undefined), 0, 0)).toBe(false);
    expect(limits.recordNamed(named(3), 0, 100)).toBe(true);
    expect(limits.recordNamed(named(3), 200, 300)).toBe(false);
    expect(limits.recordNamed(named(2.5), 500, 600)).toBe(true);
    expect(limits.requestsPerSecondOf("t")).toBe(2.5);
    expect(limits.recordNamed(named(undefined), 700, 800)).toBe(true);
    expect(limits.requestsPerSecondOf("t")).toBeUndefined();
  });

  // Guards against a limit that a response ends which was overtaken by the first
  // response that named it.
  it("keeps a limit that a request was sent before", () => {
    limits.recordNamed(named(3), 50, 100);
    expect(limits.recordNamed(named(undefined), 60, 150)).toBe(false);
    expect(limits.requestsPerSecondOf("t")).toBe(3);
  });

  it("bounds the announcements of a limit that changes all the time", () => {
    let news = 0;
    for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
      if (limits.recordNamed(named(1 + nowMs), nowMs, nowMs)) news += 1;
    }
    expect(news).toBeLessThanOrEqual(4);
  });

  it("forgets targets that are gone", () => {
    limits.recordAnnounced(named(3), 0);
    limits.keepOnly(new Set(["other"]));
    expect(limits.list()).toEqual([]);
  });
});

describe("limitOwners", () => {
  const daemons = Array.from({ length: 12 }, (_, index) => ({
    name: `daemon-${index}`,
    availabilityZone: `zone-${index % 4}`,
  }));
  const target = { incarnation: "t@1", availabilityZone: "zone-2" };

  // Guards against an owner that a cut zone can't reach.
  it("are two daemons of the target's zone", () => {
    const owners = limitOwners(target, daemons);
    expect(owners).toHaveLength(2);
    for (const owner of owners) {
      expect(Number(owner.split("-")[1]) % 4).toBe(2);
    }
  });

  it("are daemons of other zones where the zone has too few", () => {
    const [first] = limitOwners(target, daemons);
    const rest = daemons.filter(({ name, availabilityZone }) =>
      name === first || availabilityZone !== "zone-2"
    );
    const [owner, substitute] = limitOwners(target, rest);
    expect(owner).toBe(first);
    expect(substitute).toBeDefined();
    expect(limitOwners(target, [])).toEqual([]);
  });

  it("hand out shares that stay below the bound together", () => {
    const total = shareOfLimit(3, "owner", 10) +
      shareOfLimit(3, "substitute", 10) + 10 * shareOfLimit(3, "own", 10);
    expect(total).toBeLessThanOrEqual(3 * 1.5);
    expect(shareOfLimit(0, "owner", 10)).toBeGreaterThan(0);
  });
});
