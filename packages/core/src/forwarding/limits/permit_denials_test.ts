import { describe, expect, it } from "@jest/globals";
import type { Candidate, Placement } from "../placement/choose_target.ts";
import {
  excludeAfterDenial,
  isOverloadedAlternative,
} from "./permit_denials.ts";

const candidates = ["a", "b", "c", "d", "e", "f"].map((incarnation) =>
  ({ target: { incarnation } }) as Candidate
);

function exclude(limited: string, excluded: string, denials: number) {
  return excludeAfterDenial({
    candidates,
    isLimited: ({ target }) => limited.includes(target.incarnation),
    excluded: new Set(excluded),
    denials,
  });
}

describe("excludeAfterDenial", () => {
  it("lets a request ask for a second permit", () => {
    expect([...exclude("abcd", "a", 1)!]).toEqual(["a"]);
  });

  // Guards against requests that are rejected although targets without a limit
  // could take them.
  it("leaves the targets without a limit after two denials", () => {
    expect([...exclude("abcd", "ab", 2)!].sort()).toEqual(["a", "b", "c", "d"]);
    expect(exclude("abcd", "abcdef", 2)).toBeUndefined();
  });

  it("rejects a request after four denials where all have limits", () => {
    expect(exclude("abcdef", "abc", 3)).toBeDefined();
    expect(exclude("abcdef", "abcd", 4)).toBeUndefined();
    expect(exclude("abcdef", "abcdef", 2)).toBeUndefined();
  });
});

describe("isOverloadedAlternative", () => {
  // Guards against requests that pile up at the few targets without a limit and
  // wait there until their deadlines.
  it("holds for a target with half of its slots waited for", () => {
    const at = (estimatedLoad: number) =>
      isOverloadedAlternative({
        candidate: { target: { slots: 12 } },
        estimatedLoad,
      } as Placement);
    expect([at(3), at(17), at(18)]).toEqual([false, false, true]);
  });
});
