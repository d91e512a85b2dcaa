import { contenderName, FULL_KNOWLEDGE } from "../replay/index.ts";
import type { BenchReport, DeploymentReport } from "./bench_report.ts";

/** Header and cells of a table. */
export interface Table {
  readonly title: string;
  readonly head: readonly string[];
  readonly rows: readonly (readonly string[])[];
}

/** Compares the contenders of one deployment. */
export function comparisonTable(report: DeploymentReport): Table {
  const fullKnowledgeReuse = report.rows.find((row) =>
    row.name === contenderName(FULL_KNOWLEDGE)
  )?.result.reuse;
  return {
    title: `${report.deployment}: ${report.requests} requests`,
    head: [
      "contender",
      "reuse",
      "of full",
      "max/mean",
      "p99/mean",
      "breaches",
      "worst",
      "spilled",
      "waited",
      "failed",
      "refused",
      "B/s mean",
      "B/s max",
    ],
    rows: report.rows.map(({ name, result }) => [
      name,
      result.reuse.toFixed(3),
      fullKnowledgeReuse ? (result.reuse / fullKnowledgeReuse).toFixed(3) : "-",
      result.maxLoadOverMean.toFixed(2),
      result.p99LoadOverMean.toFixed(2),
      `${result.breaches}`,
      `+${result.worstExcessRequests}`,
      result.spilledRatio.toFixed(3),
      result.waitedRatio.toFixed(4),
      `${result.failed}`,
      `${result.refused}`,
      result.controlBytesPerSecondMean.toFixed(0),
      result.controlBytesPerSecondMax.toFixed(0),
    ]),
  };
}

/** Time to the first token by contender, phase and kind of request. */
export function firstTokenTable(report: DeploymentReport): Table {
  return {
    title: `${report.deployment}: time to the first token, ms`,
    head: ["contender", "phase", "kind", "count", "p50", "p95", "p99"],
    rows: report.rows.flatMap(({ name, result }) =>
      result.firstToken
        .filter((entry) => entry.phase === "calm" || entry.phase === "surge")
        .map((entry) => [
          name,
          entry.phase,
          entry.requestKind,
          `${entry.count}`,
          entry.p50Ms.toFixed(0),
          entry.p95Ms.toFixed(0),
          entry.p99Ms.toFixed(0),
        ])
    ),
  };
}

/** The performance goals and whether they are met. */
export function goalTable(report: BenchReport): Table {
  return {
    title: "targets",
    head: ["deployment", "target", "measured", "met"],
    rows: report.verdicts.map((goal) => [
      goal.deployment,
      goal.target,
      goal.measured,
      goal.isMet ? "yes" : "NO",
    ]),
  };
}

/** Formats a table in columns for a terminal. */
export function formatTable(table: Table): string {
  const lines = [table.head, ...table.rows];
  const widths = table.head.map((_, column) =>
    Math.max(...lines.map((line) => line[column]!.length))
  );
  const text = lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column]!)).join("  ")
      .trimEnd()
  );
  return [`== ${table.title}`, ...text, ""].join("\n");
}
