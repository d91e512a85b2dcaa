import { describe, expect, it } from "@jest/globals";
import { hash32 } from "../../hash/index.ts";
import type { Candidate } from "./choose_target.ts";
import { PreferredTargetOrder } from "./preferred_target_order.ts";

function createCandidate(id: string, bornAtMs: number): Candidate {
  return {
    target: { incarnation: id, bornAtMs },
    incarnationHash: hash32(id),
  } as Candidate;
}

const candidates = ["a", "b", "c", "d"].map((id) => createCandidate(id, 0));
const parts = Array.from({ length: 200 }, (_, at) => `part-${at}`);

function preferredTargetsOf(serving: Candidate[], departed: Candidate[] = []) {
  return parts.map((part) => {
    const order = new PreferredTargetOrder(part, [...serving, ...departed]);
    return order.first(new Set(serving))!;
  });
}

describe("PreferredTargetOrder", () => {
  it("distributes the parts over all targets", () => {
    const counts = candidates.map((candidate) =>
      preferredTargetsOf(candidates).filter((preferred) =>
        preferred === candidate
      ).length
    );
    for (const count of counts) expect(count).toBeGreaterThan(30);
  });

  it("moves parts only to a target that joins", () => {
    const before = preferredTargetsOf(candidates);
    const late = createCandidate("new", 30_000);
    for (
      const [at, preferred] of preferredTargetsOf([...candidates, late])
        .entries()
    ) {
      if (preferred !== late) expect(preferred).toBe(before[at]);
    }
  });

  it("moves only the parts of a target that leaves", () => {
    const before = preferredTargetsOf(candidates);
    for (
      const [at, preferred] of preferredTargetsOf(candidates.slice(1), [
        candidates[0]!,
      ]).entries()
    ) {
      if (before[at] !== candidates[0]) expect(preferred).toBe(before[at]);
    }
  });

  it("doesn't depend on the order of the candidates", () => {
    expect(preferredTargetsOf([...candidates].reverse())).toEqual(
      preferredTargetsOf(candidates),
    );
  });

  it("returns leaving targets as the former preferred targets", () => {
    const [leaving, ...serving] = candidates;
    const before = preferredTargetsOf(candidates);
    for (const [at, part] of parts.entries()) {
      const order = new PreferredTargetOrder(part, candidates);
      const former = order.formerPreferredTargets(
        order.first(new Set(serving))!,
      );
      expect(former).toEqual(before[at] === leaving ? [leaving] : []);
    }
  });

  it("returns the predecessor of a preferred target that started later", () => {
    const late = createCandidate("new", 30_000);
    const before = preferredTargetsOf(candidates);
    const serving = [...candidates, late];
    for (const [at, part] of parts.entries()) {
      const order = new PreferredTargetOrder(part, serving);
      const preferred = order.first(new Set(serving))!;
      const expected = preferred === late ? [before[at]] : [];
      expect(order.formerPreferredTargets(preferred)).toEqual(expected);
    }
  });
});
