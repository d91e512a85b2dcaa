import { countRunsBy, type Run } from "@coltsfootford/standins";
import type { LoadResult } from "../shutdown/steady_load.ts";

/**
 * Finds violations of the guarantees that hold under every failure: a wrong
 * response that looks complete, a request that was reported as not-run but
 * executed, and a booking that executed twice. The executions recorded by the
 * stand-ins are the ground truth.
 */
export function findGuaranteeViolations(
  results: readonly LoadResult[],
  runs: readonly Run[],
): string[] {
  const executionsByBooking = countRunsBy(runs, "idempotencyKey");
  const executedChats = new Set(runs.map((run) => run.chat));
  const violations: string[] = [];
  for (const { kind, name, result } of results) {
    const hasExecuted = kind === "booking"
      ? (executionsByBooking.get(name) ?? 0) > 0
      : executedChats.has(name);
    const looksComplete = result.status === 200 && result.isEnded;
    if (looksComplete && !result.isOwnAndComplete) {
      violations.push(`${name} got a wrong response`);
    }
    if (result.outcome === "not-run" && hasExecuted) {
      violations.push(`${name} executed but was reported as not-run`);
    }
  }
  for (const [key, count] of executionsByBooking) {
    if (count > 1) violations.push(`${key} executed ${count} times`);
  }
  return violations;
}
