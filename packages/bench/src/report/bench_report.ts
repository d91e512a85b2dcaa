import type { ReplayResult } from "../replay/index.ts";
import type { TargetVerdict } from "./targets.ts";

/** One contender's outcome. */
export interface BenchRow {
  readonly name: string;
  readonly result: ReplayResult;
}

/** All contenders over one deployment's trace and faults. */
export interface DeploymentReport {
  readonly deployment: string;
  readonly requests: number;
  readonly rows: readonly BenchRow[];
}

/** One run of the bench. */
export interface BenchReport {
  readonly seed: number;
  readonly isQuick: boolean;
  readonly deployments: readonly DeploymentReport[];
  readonly verdicts: readonly TargetVerdict[];
}
