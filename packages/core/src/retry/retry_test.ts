import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { decideRetry, type RetryInput } from "./decide_retry.ts";
import { RetryBudget } from "./retry_budget.ts";

const SETTINGS = { ratio: 0.1, maxSavedRetries: 10 };
const INPUT: RetryInput = {
  failure: "maybe-run",
  isIdempotent: true,
  canResume: false,
  hasTargetCrashed: false,
  attemptsSent: 1,
  attemptsUnsent: 0,
  maxAttempts: 3,
  nowMs: 0,
  deadlineMs: 1_000,
};

function decide(overrides: Partial<RetryInput>): string {
  const decision = decideRetry(
    { ...INPUT, ...overrides },
    new RetryBudget(SETTINGS),
  );
  return decision.kind === "stop" ? decision.reason : decision.kind;
}

describe("decideRetry", () => {
  it("retries possibly executed requests only on an idempotent route", () => {
    expect(decide({})).toBe("retry");
    expect(decide({ isIdempotent: false })).toBe("may-have-run");
    expect(decide({ isIdempotent: false, failure: "refused" })).toBe("retry");
    expect(decide({ isIdempotent: false, failure: "not-sent" })).toBe("retry");
  });

  it("retries an interrupted response only if it can be resumed", () => {
    expect(decide({ failure: "cut" })).toBe("cannot-resume");
    expect(decide({ failure: "cut", canResume: true })).toBe("retry");
    expect(decide({ failure: "cut", canResume: true, isIdempotent: false }))
      .toBe("may-have-run");
  });

  it("stops at the deadline and after the last attempt", () => {
    expect(decide({ nowMs: 990 })).toBe("deadline");
    expect(decide({ nowMs: 2_000, failure: "not-sent" })).toBe("deadline");
    expect(decide({ attemptsSent: 3 })).toBe("tries-used-up");
    expect(decide({ attemptsUnsent: 8, failure: "not-sent" })).toBe(
      "tries-used-up",
    );
  });
});

describe("RetryBudget", () => {
  it("is not charged for requests whose target crashed", () => {
    const budget = new RetryBudget(SETTINGS);
    const input = { ...INPUT, hasTargetCrashed: true };
    for (let request = 0; request < 64; request++) {
      expect(decideRetry(input, budget).kind).toBe("retry");
    }
    expect(decideRetry(INPUT, budget).kind).toBe("retry");
    expect(decideRetry(INPUT, budget).kind).toBe("stop");
  });

  it("allows at most 1.1 attempts per request while half of them fail", () => {
    const requests = 20_000;
    const random = xoroshiro128plus(7);
    const budget = new RetryBudget(SETTINGS);
    let attempts = 0;
    for (let request = 0; request < requests; request++) {
      budget.recordFirstAttempt();
      for (let attemptsSent = 1;; attemptsSent++) {
        attempts += 1;
        const hasFailed = uniformInt(random, 0, 1) === 0;
        if (!hasFailed) break;
        const input = { ...INPUT, attemptsSent };
        if (decideRetry(input, budget).kind === "stop") break;
      }
    }
    expect(attempts).toBeLessThanOrEqual(
      requests * 1.1 + SETTINGS.maxSavedRetries,
    );
    expect(attempts).toBeGreaterThan(requests);
  });
});
