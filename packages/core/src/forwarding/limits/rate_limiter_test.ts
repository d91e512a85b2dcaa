import { describe, expect, it } from "@jest/globals";
import { RateLimiter } from "./rate_limiter.ts";

const WINDOW_MS = 4_000;
const START_MS = 1_000;

/** Asks all the time; returns when the granted requests are due. */
function grantAll(
  limitAt: (nowMs: number) => number,
  maxWaitMs: number,
  durationMs: number,
): number[] {
  const limiter = new RateLimiter(START_MS);
  const dueMs: number[] = [];
  for (let nowMs = START_MS; nowMs < START_MS + durationMs; nowMs += 10) {
    const { permit } = limiter.reserve(limitAt(nowMs), maxWaitMs, nowMs);
    if (permit.kind === "granted") dueMs.push(nowMs + permit.waitMs);
  }
  return dueMs;
}

function countWorstWindow(dueMs: readonly number[]): number {
  return Math.max(
    ...dueMs.map((fromMs) =>
      dueMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length
    ),
  );
}

describe("RateLimiter", () => {
  it.each([0.3, 1, 3.5, 12, 80])(
    "hands out most of %s requests a second, and no more",
    (limit) => {
      for (const maxWaitMs of [0, 200, 1_000]) {
        const dueMs = grantAll(() => limit, maxWaitMs, 60_000);
        expect(countWorstWindow(dueMs)).toBeLessThanOrEqual(limit * 5 + 2);
        expect(dueMs.length).toBeGreaterThanOrEqual(limit * 60 * 0.9);
      }
    },
  );

  // Guards against an owner that starts again and hands out a second burst.
  it("has no burst saved up when it is new", () => {
    const limiter = new RateLimiter(START_MS);
    limiter.reserve(2, 0, START_MS);
    expect(limiter.reserve(2, 0, START_MS).permit.kind).toBe("denied");
  });

  it("tells how long the next request has to wait", () => {
    const limiter = new RateLimiter(START_MS);
    const { nextWaitMs } = limiter.reserve(1, 0, START_MS);
    expect(limiter.reserve(1, nextWaitMs - 1, START_MS).permit.kind)
      .toBe("denied");
    expect(limiter.reserve(1, nextWaitMs, START_MS).permit)
      .toEqual({ kind: "granted", waitMs: nextWaitMs });
  });

  // Guards against a lower limit that takes effect only after the backlog, and
  // against a higher one that waits for the pace of the lower one.
  it("follows a limit that changes", () => {
    const lower = grantAll((nowMs) => nowMs < 5_000 ? 20 : 2, 500, 20_000);
    const late = lower.filter((atMs) => atMs >= 6_000);
    expect(countWorstWindow(late)).toBeLessThanOrEqual(2 * 5 + 2);
    const higher = grantAll((nowMs) => nowMs < 5_000 ? 0.1 : 20, 500, 20_000);
    expect(higher.filter((atMs) => atMs >= 7_000).length)
      .toBeGreaterThan(20 * 13 * 0.8);
  });
});
