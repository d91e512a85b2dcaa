import { describe, expect, it } from "@jest/globals";
import { hash32 } from "../hash/index.ts";
import type { Candidate } from "./choose_target.ts";
import { PreferredTargetOrder } from "./preferred_target_order.ts";

function born(id: string, bornAtMs: number): Candidate {
  return {
    target: { incarnation: id, bornAtMs },
    incarnationHash: hash32(id),
  } as Candidate;
}

const first = ["a", "b", "c", "d"].map((id) => born(id, 0));
const parts = Array.from({ length: 200 }, (_, at) => `part-${at}`);

function homesOf(serving: Candidate[], departed: Candidate[] = []) {
  return parts.map((part) => {
    const order = new PreferredTargetOrder(part, [...serving, ...departed]);
    return order.first(new Set(serving))!;
  });
}

describe("HomeOrder", () => {
  it("spreads the homes over all targets", () => {
    const counts = first.map((one) =>
      homesOf(first).filter((home) => home === one).length
    );
    for (const count of counts) expect(count).toBeGreaterThan(30);
  });

  it("moves homes only to a target that comes", () => {
    const before = homesOf(first);
    const late = born("new", 30_000);
    for (const [at, home] of homesOf([...first, late]).entries()) {
      if (home !== late) expect(home).toBe(before[at]);
    }
  });

  it("moves only the homes of a target that leaves", () => {
    const before = homesOf(first);
    for (const [at, home] of homesOf(first.slice(1), [first[0]!]).entries()) {
      if (before[at] !== first[0]) expect(home).toBe(before[at]);
    }
  });

  it("doesn't depend on the order in which targets were seen", () => {
    expect(homesOf([...first].reverse())).toEqual(homesOf(first));
  });

  it("names the targets that leave as those before the home", () => {
    const [leaving, ...serving] = first;
    const before = homesOf(first);
    for (const [at, part] of parts.entries()) {
      const order = new PreferredTargetOrder(part, first);
      const former = order.formerHomes(order.first(new Set(serving))!);
      expect(former).toEqual(before[at] === leaving ? [leaving] : []);
    }
  });

  it("names the home before one that came later", () => {
    const late = born("new", 30_000);
    const before = homesOf(first);
    const serving = [...first, late];
    for (const [at, part] of parts.entries()) {
      const order = new PreferredTargetOrder(part, serving);
      const home = order.first(new Set(serving))!;
      const expected = home === late ? [before[at]] : [];
      expect(order.formerHomes(home)).toEqual(expected);
    }
  });
});
