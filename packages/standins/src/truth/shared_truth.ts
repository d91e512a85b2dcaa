import { AdmissionLog } from "./admission_log.ts";
import { PrefixHistory } from "./prefix_history.ts";
import { RunLog } from "./run_log.ts";

/** The ground truth that all targets of one process record for tests. */
export class SharedTruth {
  readonly admissions = new AdmissionLog();
  readonly runs = new RunLog();
  readonly prefixes = new PrefixHistory();

  reset(): void {
    this.admissions.reset();
    this.runs.reset();
    this.prefixes.reset();
  }
}
