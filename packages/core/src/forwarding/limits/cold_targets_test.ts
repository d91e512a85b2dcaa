import { beforeEach, describe, expect, it } from "@jest/globals";
import { coldLimit } from "./cold_limit.ts";
import { ColdTargets } from "./cold_targets.ts";

const TARGET = "t@1";
const WARMUP_MS = 10_000;

let targets: ColdTargets;

beforeEach(() => {
  targets = new ColdTargets();
});

const register = (coldLeftMs: number, nowMs: number) =>
  targets.recordRegistered({ incarnation: TARGET, coldLeftMs }, nowMs);

describe("ColdTargets", () => {
  it("tells a target that starts cold from one that turns cold", () => {
    expect(register(WARMUP_MS, 0)).toBe("starts");
    expect(targets.untilMs(TARGET)).toBe(WARMUP_MS);
    const coldLeftMs = 5_000;
    expect(targets.recordStated({ target: TARGET, coldLeftMs }, 6_000))
      .toBe("extends");
    expect(targets.recordStated({ target: TARGET, coldLeftMs }, 12_000))
      .toBe("turns");
  });

  // Guards against a target that is cold for ever by its renewed registration.
  it("counts down a figure that renewals repeat", () => {
    for (let nowMs = 0; nowMs < 4 * WARMUP_MS; nowMs += 2_000) {
      register(WARMUP_MS, nowMs);
    }
    expect(targets.untilMs(TARGET)).toBe(WARMUP_MS);
  });

  // Guards against a target that turns cold a second time for as long.
  it("takes a figure that is repeated after its time for a new one", () => {
    register(WARMUP_MS, 0);
    expect(register(WARMUP_MS, WARMUP_MS + 1)).toBe("turns");
  });

  // Guards against an announcement for each response.
  it("has no news where the same time is stated with another delay", () => {
    register(WARMUP_MS, 0);
    const stated = { target: TARGET, coldLeftMs: WARMUP_MS - 900 };
    expect(targets.recordStated(stated, 1_000)).toBe("none");
  });

  it("lists the targets that are cold, and forgets those that are gone", () => {
    register(WARMUP_MS, 0);
    expect(targets.list(4_000)).toEqual([{
      target: TARGET,
      coldLeftMs: 6_000,
    }]);
    expect(targets.list(WARMUP_MS)).toEqual([]);
    targets.keepOnly(new Set());
    expect(targets.untilMs(TARGET)).toBeUndefined();
  });
});

describe("coldLimit", () => {
  const bound = { requestsPerSecond: 11, overage: 1.5, slack: 5 };

  it("is what the target accepts where the bound leaves room", () => {
    expect(coldLimit(bound)).toBe(11);
  });

  it("is lower where the bound is stricter", () => {
    expect(coldLimit({ ...bound, overage: 1, slack: 3 })).toBeCloseTo(6.6, 1);
    expect(coldLimit({ ...bound, overage: 0, slack: 0 })).toBe(0);
  });

  it("is absent without a figure", () => {
    expect(coldLimit({ ...bound, requestsPerSecond: 0 })).toBeUndefined();
  });
});
