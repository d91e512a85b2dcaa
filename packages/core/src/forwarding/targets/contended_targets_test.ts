import { describe, expect, it } from "@jest/globals";
import { ContendedTargets, showsContention } from "./contended_targets.ts";

describe("showsContention", () => {
  it.each([
    [4, 0, false],
    [5, 0, true],
    [6, 3, true],
  ])(
    "with %i running and %i waiting of 6 slots: %j",
    (running, waiting, is) => {
      const load = { runningRequests: running, waitingRequests: waiting };
      expect(showsContention({ ...load, slots: 6 })).toBe(is);
    },
  );
});

describe("ContendedTargets", () => {
  // Guards against requests that change between asking and not asking with each
  // report of a load.
  it("counts a target as contended for two seconds after the last sign", () => {
    const targets = new ContendedTargets();
    expect(targets.isContended("a", 0)).toBe(false);
    targets.recordSign("a", 0);
    targets.recordSign("a", 500);
    expect(targets.isContended("a", 2_400)).toBe(true);
    expect(targets.isContended("a", 2_500)).toBe(false);
  });

  // Guards against announcements of all daemons about the same burst.
  it("announces a target once a second, whoever announced it", () => {
    const targets = new ContendedTargets();
    expect(targets.recordSign("a", 0)).toBe(true);
    expect(targets.recordSign("a", 900)).toBe(false);
    expect(targets.recordSign("a", 1_000)).toBe(true);
    targets.recordAnnounced("b", 1_000);
    expect(targets.recordSign("b", 1_900)).toBe(false);
  });

  it("limits the announcements of many targets", () => {
    const targets = new ContendedTargets();
    const announced = Array.from(
      { length: 100 },
      (_, index) => targets.recordSign(`t${index}`, 0),
    );
    expect(announced.filter(Boolean)).toHaveLength(8);
    expect(targets.isContended("t99", 0)).toBe(true);
  });
});
