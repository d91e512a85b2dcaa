import { countRunsBy, type Run } from "@coltsfootford/standins";
import type { LoadResult } from "../shutdown/steady_load.ts";

/**
 * Finds what no failure excuses: a wrong answer that looks whole, a request
 * said not to have run that ran, and a booking that ran twice. The stand-ins'
 * runs are the truth.
 */
export function findBrokenPromises(
  results: readonly LoadResult[],
  runs: readonly Run[],
): string[] {
  const bookingRuns = countRunsBy(runs, "idempotencyKey");
  const chats = new Set(runs.map((run) => run.chat));
  const broken: string[] = [];
  for (const { kind, name, result } of results) {
    const hasRun = kind === "booking"
      ? (bookingRuns.get(name) ?? 0) > 0
      : chats.has(name);
    const looksWhole = result.status === 200 && result.isEnded;
    if (looksWhole && !result.isOwnAndWhole) {
      broken.push(`${name} got a wrong answer`);
    }
    if (result.outcome === "not-run" && hasRun) {
      broken.push(`${name} ran and was answered not-run`);
    }
  }
  for (const [key, count] of bookingRuns) {
    if (count > 1) broken.push(`${key} ran ${count} times`);
  }
  return broken;
}
