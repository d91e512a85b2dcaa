import { beforeEach, describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { StoreHistory } from "./store_history.ts";
import {
  compareRevisions,
  isLater,
  type StoreRevision,
} from "./store_revision.ts";

let history: StoreHistory;

beforeEach(() => {
  history = new StoreHistory();
});

const revisions = fc.record({
  era: fc.integer({ min: 0, max: 3 }),
  revision: fc.integer({ min: 0, max: 5 }),
});

describe("the order of a store's history", () => {
  it("is by era first, and total", () => {
    expect(isLater({ era: 2, revision: 1 }, { era: 1, revision: 9 })).toBe(
      true,
    );
    fc.assert(fc.property(revisions, revisions, revisions, (a, b, c) => {
      expect(
        Math.sign(compareRevisions(a, b)) + Math.sign(compareRevisions(b, a)),
      )
        .toBe(0);
      if (isLater(a, b) && isLater(b, c)) expect(isLater(a, c)).toBe(true);
    }));
  });
});

describe("a store that reports no era", () => {
  const read = (revision: number, begunAt: StoreRevision = history.latest) =>
    history.place({ revision, era: undefined }, begunAt);

  // Guards against a daemon that takes a restored store for a late response.
  it("is in the next era once a linearizable read goes back", () => {
    expect(read(100)).toEqual({ era: 0, revision: 100 });
    expect(read(60)).toEqual({ era: 1, revision: 60 });
    expect(read(61)).toEqual({ era: 1, revision: 61 });
  });

  it("is not restored where a read had begun before a later one", () => {
    const begunAt = history.latest;
    read(100);
    expect(read(90, begunAt)).toEqual({ era: 0, revision: 90 });
    expect(history.latest).toEqual({ era: 0, revision: 100 });
  });

  it("is in the era that another daemon found", () => {
    read(100);
    history.learn({ era: 1, revision: 50 });
    expect(read(55)).toEqual({ era: 1, revision: 55 });
  });

  it("is not restored where a read may be outdated", () => {
    read(100);
    const placed = history.placeStale({ revision: 60, era: undefined });
    expect(placed).toEqual({ era: 0, revision: 60 });
    expect(history.latest).toEqual({ era: 0, revision: 100 });
  });
});

describe("a store that reports its era", () => {
  // Guards against a daemon that looks only once revisions have passed its own.
  it("is in that era at whatever revision", () => {
    history.place({ revision: 100, era: 1 }, history.latest);
    expect(history.place({ revision: 130, era: 2 }, history.latest))
      .toEqual({ era: 2, revision: 130 });
  });
});
