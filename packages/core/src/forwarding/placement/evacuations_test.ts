import { beforeEach, describe, expect, it } from "@jest/globals";
import { Evacuations, LOST_EVACUATION_TTL_MS } from "./evacuations.ts";

const NONE: ReadonlySet<string> = new Set();
const ZONE = new Set(["a"]);

let evacuations: Evacuations;

beforeEach(() => {
  evacuations = new Evacuations();
  evacuations.update(ZONE, false, 0);
});

describe("Evacuations", () => {
  it("ends an evacuation whose key is removed", () => {
    expect(evacuations.inForce(0)).toEqual(ZONE);
    evacuations.update(NONE, false, 1);
    expect(evacuations.inForce(1)).toEqual(NONE);
  });

  // Guards against requests to a zone whose key was lost, not removed.
  it("keeps one that a restored store has lost, for a bounded time", () => {
    evacuations.update(NONE, true, 1);
    evacuations.update(NONE, false, 2);
    expect(evacuations.inForce(LOST_EVACUATION_TTL_MS)).toEqual(ZONE);
    expect(evacuations.inForce(LOST_EVACUATION_TTL_MS + 1)).toEqual(NONE);
  });

  // Guards against a zone that stays away after its operator has taken it back.
  it("ends a lost one once its key is written again and removed", () => {
    evacuations.update(NONE, true, 1);
    evacuations.update(ZONE, false, 2);
    evacuations.update(NONE, false, 3);
    expect(evacuations.inForce(4)).toEqual(NONE);
  });

  it("passes a lost one on with the time that is left of it", () => {
    evacuations.update(NONE, true, 0);
    const [fact] = evacuations.lost(1_000);
    const other = new Evacuations();
    other.recordLost(fact!, 0);
    expect(other.inForce(LOST_EVACUATION_TTL_MS - 1_001)).toEqual(ZONE);
    expect(other.inForce(LOST_EVACUATION_TTL_MS - 1_000)).toEqual(NONE);
  });
});
