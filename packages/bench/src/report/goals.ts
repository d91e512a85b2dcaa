import { CHOSEN, contenderName, FULL_KNOWLEDGE } from "../replay/index.ts";
import type { BenchRow, DeploymentReport } from "./bench_report.ts";

/** A stated target beside what was measured. */
export interface TargetVerdict {
  readonly deployment: string;
  readonly target: string;
  readonly measured: string;
  readonly isMet: boolean;
}

const MIN_REUSE_RATIO = 0.95;
const MIN_REUSE_OVER_LEAST_LOADED = 3;
const MAX_SURGE_OVER_CALM = 1.5;
const MAX_CONTROL_BYTES_PER_SECOND = 3_000;

/** Judges the chosen contender by the targets of the issue. */
export function judgeTargets(report: DeploymentReport): TargetVerdict[] {
  const chosen = findRow(report, contenderName(CHOSEN));
  if (!chosen) return [];
  const verdicts = [judgeBreaches(report, chosen)];
  if (report.deployment === "large-zone") return verdicts;
  verdicts.push(judgeControl(report, chosen));
  if (report.deployment === "trust") {
    verdicts.push(...judgeReuse(report, chosen));
  }
  if (report.deployment === "barandas") {
    verdicts.push(...judgeSurge(report, chosen));
  }
  return verdicts;
}

function judgeBreaches(
  { deployment }: DeploymentReport,
  { result }: BenchRow,
): TargetVerdict {
  return {
    deployment,
    target: "0 breaches of the load bound",
    measured: `${result.breaches} of ${result.admissions} admissions`,
    isMet: result.breaches === 0,
  };
}

function judgeControl(
  { deployment }: DeploymentReport,
  { result }: BenchRow,
): TargetVerdict {
  const mean = result.controlBytesPerSecondMean;
  const max = result.controlBytesPerSecondMax;
  return {
    deployment,
    target: "permit messages <= 3 KB/s per daemon, sent and received",
    measured: `mean ${mean.toFixed(0)} B/s, most ${max.toFixed(0)} B/s`,
    isMet: max <= MAX_CONTROL_BYTES_PER_SECOND,
  };
}

function judgeReuse(
  report: DeploymentReport,
  { result }: BenchRow,
): TargetVerdict[] {
  const { deployment } = report;
  const full = findRow(report, contenderName(FULL_KNOWLEDGE));
  const least = findRow(report, "least-of-two + no-bound");
  if (!full || !least) return [];
  const ratio = result.reuse / full.result.reuse;
  const overLeast = result.reuse / least.result.reuse;
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
      measured: overLeast.toFixed(2),
      isMet: overLeast >= MIN_REUSE_OVER_LEAST_LOADED,
    },
  ];
}

function judgeSurge(
  { deployment }: DeploymentReport,
  { result }: BenchRow,
): TargetVerdict[] {
  const of = (phase: string) =>
    result.firstToken.find((entry) =>
      entry.phase === phase && entry.requestKind === "status"
    );
  const calm = of("calm");
  const surge = of("surge");
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
