import type { RosterTarget } from "./target_roster.ts";

/**
 * A target becomes the home of prompts after this time. Until then it takes
 * what others can't, so that targets that come and go move no home, and a
 * scale-out under load isn't answered by reading prompts again.
 */
const SETTLING_MS = 60_000;
/** Targets that were started together count as one cohort. */
const COHORT_MS = 10_000;

/**
 * The targets of one service that may be homes: those that have been there for
 * a while, and those of the older half's cohort, since one half must be homes.
 */
export function findSettled(
  targets: readonly RosterTarget[],
  wallClockMs: number,
): ReadonlySet<string> {
  const bornAtMs = targets.map((target) => target.bornAtMs);
  bornAtMs.sort((a, b) => a - b);
  const median = bornAtMs[Math.floor((bornAtMs.length - 1) / 2)] ?? 0;
  const latestMs = Math.max(median + COHORT_MS, wallClockMs - SETTLING_MS);
  const settled = new Set<string>();
  for (const target of targets) {
    if (target.bornAtMs <= latestMs) settled.add(target.incarnation);
  }
  return settled;
}
