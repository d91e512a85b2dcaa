import {
  contenderName,
  FULL_KNOWLEDGE,
  PRODUCTION_CONTENDER,
} from "../replay/index.ts";
import type { BenchRow, DeploymentReport } from "./bench_report.ts";

/** A performance goal and its measured value. */
export interface GoalResult {
  readonly deployment: string;
  /** The goal, as the report prints it. */
  readonly target: string;
  readonly measured: string;
  readonly isMet: boolean;
}

const MIN_REUSE_RATIO = 0.95;
const MIN_REUSE_OVER_LEAST_LOADED = 3;
const MAX_SURGE_OVER_CALM = 1.5;
const MAX_CONTROL_BYTES_PER_SECOND = 3_000;

/** Evaluates the production contender against the performance goals. */
export function evaluateGoals(report: DeploymentReport): GoalResult[] {
  const production = findRow(report, contenderName(PRODUCTION_CONTENDER));
  if (!production) return [];
  const results = [evaluateBreaches(report, production)];
  if (report.deployment === "large-zone") return results;
  results.push(evaluateControlTraffic(report, production));
  if (report.deployment === "trust") {
    results.push(...evaluateCacheReuse(report, production));
  }
  if (report.deployment === "barandas") {
    results.push(...evaluateSurgeLatency(report, production));
  }
  return results;
}

function evaluateBreaches(
  { deployment }: DeploymentReport,
  { result }: BenchRow,
): GoalResult {
  return {
    deployment,
    target: "0 breaches of the load bound",
    measured: `${result.breaches} of ${result.admissions} admissions`,
    isMet: result.breaches === 0,
  };
}

function evaluateControlTraffic(
  { deployment }: DeploymentReport,
  { result }: BenchRow,
): GoalResult {
  const mean = result.controlBytesPerSecondMean;
  const max = result.controlBytesPerSecondMax;
  return {
    deployment,
    target: "permit messages <= 3 KB/s per daemon, sent and received",
    measured: `mean ${mean.toFixed(0)} B/s, most ${max.toFixed(0)} B/s`,
    isMet: max <= MAX_CONTROL_BYTES_PER_SECOND,
  };
}

function evaluateCacheReuse(
  report: DeploymentReport,
  { result }: BenchRow,
): GoalResult[] {
  const { deployment } = report;
  const full = findRow(report, contenderName(FULL_KNOWLEDGE));
  const leastLoaded = findRow(
    report,
    "least-of-two + no-bound",
  );
  if (!full || !leastLoaded) return [];
  const ratio = result.reuse / full.result.reuse;
  const overLeastLoaded = result.reuse / leastLoaded.result.reuse;
  return [
    {
      deployment,
      target: "reuse >= 0.95 of full knowledge under churn",
      measured: ratio.toFixed(3),
      isMet: ratio >= MIN_REUSE_RATIO,
    },
    {
      deployment,
      target: "reuse >= 3 times least-loaded under churn",
      measured: overLeastLoaded.toFixed(2),
      isMet: overLeastLoaded >= MIN_REUSE_OVER_LEAST_LOADED,
    },
  ];
}

function evaluateSurgeLatency(
  { deployment }: DeploymentReport,
  { result }: BenchRow,
): GoalResult[] {
  const findStatusLatency = (phase: string) =>
    result.firstToken.find((entry) =>
      entry.phase === phase && entry.requestKind === "status"
    );
  const calm = findStatusLatency("calm");
  const surge = findStatusLatency("surge");
  if (!calm || !surge) return [];
  const ratio = surge.p99Ms / calm.p99Ms;
  return [{
    deployment,
    target: "status checks' p99 to the first token in the surge <= 1.5 of calm",
    measured: `${ratio.toFixed(2)} (${calm.p99Ms} ms, ${surge.p99Ms} ms)`,
    isMet: ratio <= MAX_SURGE_OVER_CALM,
  }];
}

function findRow(report: DeploymentReport, name: string): BenchRow | undefined {
  return report.rows.find((row) => row.name === name);
}
