import type {
  BenchReport,
  BenchRow,
  DeploymentReport,
} from "./bench_report.ts";
import {
  comparisonTable,
  firstTokenTable,
  goalTable,
  type Table,
} from "./format_tables.ts";
import { drawBars, drawLines, escapeXml } from "./svg_plots.ts";

const MINUTE_MS = 60_000;
/** Number of contenders in the plots over time. */
const PLOTTED_CONTENDERS = 3;

/** Formats the report as one HTML page with inline plots. */
export function formatHtml(report: BenchReport): string {
  const mode = report.isQuick ? "quick" : "full";
  const sections = report.deployments.map(formatDeployment).join("\n");
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>coltsfootford bench</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px; }
td, th { border: 1px solid #ccc; padding: 3px 8px; text-align: left; }
</style></head><body>
<h1>Replay, seed ${report.seed}, ${mode}</h1>
${formatTableHtml(goalTable(report))}
${sections}
</body></html>
`;
}

function formatDeployment(report: DeploymentReport): string {
  const { rows } = report;
  const bars = (title: string, value: (row: BenchRow) => number) =>
    drawBars(
      `${report.deployment}: ${title}`,
      rows.map((row) => ({ label: row.name, value: value(row) })),
    );
  const plotted = rows.slice(0, PLOTTED_CONTENDERS);
  return [
    `<h2>${escapeXml(report.deployment)}</h2>`,
    formatTableHtml(comparisonTable(report)),
    bars(
      "share of returning prefix tokens found cached",
      (row) => row.result.reuse,
    ),
    bars(
      "99th percentile of load over mean",
      (row) => row.result.p99LoadOverMean,
    ),
    bars("breaches of the bound", (row) => row.result.breaches),
    bars(
      "control bytes a second per daemon, sent and received",
      (row) => row.result.controlBytesPerSecondMean,
    ),
    drawLines(
      `${report.deployment}: reuse over time`,
      plotted.map((row) => ({
        label: row.name,
        points: row.result.samples.map((sample) => ({
          x: sample.atMs / MINUTE_MS,
          y: sample.reuse,
        })),
      })),
    ),
    drawLines(
      `${report.deployment}: highest load of a target`,
      plotted.map((row) => ({
        label: row.name,
        points: row.result.samples.map((sample) => ({
          x: sample.atMs / MINUTE_MS,
          y: sample.maxLoadRequests,
        })),
      })),
    ),
    formatTableHtml(firstTokenTable(report)),
  ].join("\n");
}

function formatTableHtml(table: Table): string {
  const row = (cells: readonly string[], tag: string) =>
    `<tr>${
      cells.map((cell) => `<${tag}>${escapeXml(cell)}</${tag}>`).join("")
    }</tr>`;
  return `<h3>${escapeXml(table.title)}</h3><table>${row(table.head, "th")}${
    table.rows.map((cells) => row(cells, "td")).join("")
  }</table>`;
}
