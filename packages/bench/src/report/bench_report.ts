import type { ReplayResult } from "../replay/index.ts";
import type { GoalResult } from "./goals.ts";

/** The result of one contender. */
export interface BenchRow {
  readonly name: string;
  readonly result: ReplayResult;
}

/** Results of all contenders on one deployment's trace and faults. */
export interface DeploymentReport {
  readonly deployment: string;
  readonly requests: number;
  readonly rows: readonly BenchRow[];
}

/** Results of one run of the bench. */
export interface BenchReport {
  readonly seed: number;
  readonly isQuick: boolean;
  readonly deployments: readonly DeploymentReport[];
  readonly verdicts: readonly GoalResult[];
}
