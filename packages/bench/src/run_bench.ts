import {
  type Deployment,
  formatTrace,
  FULL_LOAD,
  generateLoad,
  QUICK_LOAD,
  type Trace,
} from "./load/index.ts";
import {
  churnOptions,
  type Contender,
  contenderName,
  CONTENDERS,
  DEFAULT_LOSS_PROBABILITY,
  type Fault,
  FULL_KNOWLEDGE,
  JUDGED_CONTENDERS,
  LARGE_ZONE,
  LARGE_ZONE_LOAD,
  LARGE_ZONE_PERMIT_NODE_OPTIONS,
  planFaults,
  PRODUCTION_CONTENDER,
  replay,
  type ReplayOptions,
} from "./replay/index.ts";
import {
  type BenchReport,
  comparisonTable,
  type DeploymentReport,
  evaluateGoals,
  firstTokenTable,
  formatHtml,
  formatTable,
  goalTable,
} from "./report/index.ts";

/** Scope and outputs of a run of the bench. */
export interface BenchOptions {
  readonly seed: number;
  readonly isQuick: boolean;
  readonly deployments: readonly Deployment[];
  /** Replays only the contenders that the performance goals compare. */
  readonly isJudgedOnly: boolean;
  readonly hasLargeZone: boolean;
  readonly print: (line: string) => void;
  /** Writes a result file of the run. */
  readonly write: (name: string, text: string) => void;
}

/** Replays every contender and writes the report. */
export function runBench(options: BenchOptions): BenchReport {
  const deployments = options.deployments.map((deployment) =>
    runDeployment(deployment, options)
  );
  if (options.hasLargeZone) deployments.push(runLargeZone(options));
  const report: BenchReport = {
    seed: options.seed,
    isQuick: options.isQuick,
    deployments,
    verdicts: deployments.flatMap(evaluateGoals),
  };
  options.print(formatTable(goalTable(report)));
  options.write("report.json", JSON.stringify(report, undefined, 1));
  options.write("report.html", formatHtml(report));
  return report;
}

function runDeployment(
  deployment: Deployment,
  options: BenchOptions,
): DeploymentReport {
  const { seed, isQuick } = options;
  const load = isQuick ? QUICK_LOAD : FULL_LOAD;
  const trace = generateLoad(deployment, { seed, ...load });
  const faults = planFaults(trace, churnOptions(deployment, seed));
  writeInputs(deployment, trace, faults, options);
  const contenders = options.isJudgedOnly ? JUDGED_CONTENDERS : CONTENDERS;
  return runContenders(deployment, trace, faults, contenders, options, {});
}

function runLargeZone(options: BenchOptions): DeploymentReport {
  const { seed } = options;
  const trace = generateLoad(LARGE_ZONE, { seed, ...LARGE_ZONE_LOAD });
  const faults = planFaults(trace, churnOptions(LARGE_ZONE, seed));
  const contenders = [FULL_KNOWLEDGE, PRODUCTION_CONTENDER];
  return runContenders(LARGE_ZONE, trace, faults, contenders, options, {
    permits: LARGE_ZONE_PERMIT_NODE_OPTIONS,
  });
}

function writeInputs(
  deployment: Deployment,
  trace: Trace,
  faults: readonly Fault[],
  options: BenchOptions,
): void {
  options.write(`${deployment.name}.trace.jsonl`, formatTrace(trace));
  options.write(
    `${deployment.name}.faults.json`,
    JSON.stringify(faults, undefined, 1),
  );
}

function runContenders(
  deployment: Deployment,
  trace: Trace,
  faults: readonly Fault[],
  contenders: readonly Contender[],
  options: BenchOptions,
  permitOptions: Pick<ReplayOptions, "permits">,
): DeploymentReport {
  const rows = contenders.map((contender) => {
    const startedMs = performance.now();
    const result = replay({
      deployment,
      trace,
      faults,
      contender,
      seed: options.seed,
      lossProbability: DEFAULT_LOSS_PROBABILITY,
      ...permitOptions,
    });
    const seconds = ((performance.now() - startedMs) / 1_000).toFixed(1);
    const name = contenderName(contender);
    options.print(`${deployment.name}: ${name} replayed in ${seconds} s`);
    return { name, result };
  });
  const report = {
    deployment: deployment.name,
    requests: trace.requests.length,
    rows,
  };
  options.print(formatTable(comparisonTable(report)));
  options.print(formatTable(firstTokenTable(report)));
  return report;
}
