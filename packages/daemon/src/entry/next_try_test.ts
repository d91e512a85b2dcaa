import { describe, expect, it } from "@jest/globals";
import { TryHistory } from "./next_try.ts";

const UNREACHED = { kind: "not-sent", message: "cannot be reached" } as const;
const BROKEN = { kind: "unknown", message: "broke off" } as const;

describe("TryHistory", () => {
  it("rests a target that was not reached, and no other", () => {
    const history = new TryHistory();
    history.note("restarting", UNREACHED, 1_000);
    history.note("broken", BROKEN, 1_000);
    expect(history.isResting("restarting", 1_001)).toBe(true);
    expect(history.isResting("broken", 1_001)).toBe(false);
    expect(history.isResting("other", 1_001)).toBe(false);
    expect(history.isResting("restarting", 2_000)).toBe(false);
  });
});
