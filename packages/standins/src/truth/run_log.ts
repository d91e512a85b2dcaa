import { monotonicMs } from "./clock.ts";

/** How a run ended; `running` before its end. */
export type RunEnd = "running" | "completed" | "cancelled" | "cut" | "crashed";

/** One execution of a request at one target. */
export interface Run {
  readonly target: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly team: string;
  readonly chat: string;
  readonly startedMonotonicMs: number;
  endedMonotonicMs: number;
  end: RunEnd;
  /** Bytes of the response body written to the connection. */
  bytesSent: number;
  tokensSent: number;
  readonly resumedAfterTokens: number;
  readonly promptTokens: number;
  /** Prompt tokens that any engine of the process had cached before. */
  readonly returningTokens: number;
  /** Returning tokens that this target had in its cache. */
  readonly reusedTokens: number;
}

/** The properties of a run at its start. */
export interface RunStart {
  readonly target: string;
  readonly requestId: string;
  readonly idempotencyKey?: string;
  readonly team?: string;
  readonly chat?: string;
  readonly resumedAfterTokens?: number;
  readonly promptTokens?: number;
  readonly returningTokens?: number;
  readonly reusedTokens?: number;
}

/** Counts of runs by their end, and sums of their tokens. */
export interface RunSummary {
  runs: number;
  completed: number;
  cancelled: number;
  cut: number;
  crashed: number;
  running: number;
  promptTokens: number;
  returningTokens: number;
  reusedTokens: number;
}

/** The runs of all targets of one process, ordered by start. */
export class RunLog {
  #runs: Run[] = [];

  start(start: RunStart): Run {
    const run: Run = {
      target: start.target,
      requestId: start.requestId,
      idempotencyKey: start.idempotencyKey ?? "",
      team: start.team ?? "",
      chat: start.chat ?? "",
      startedMonotonicMs: monotonicMs(),
      endedMonotonicMs: 0,
      end: "running",
      bytesSent: 0,
      tokensSent: 0,
      resumedAfterTokens: start.resumedAfterTokens ?? 0,
      promptTokens: start.promptTokens ?? 0,
      returningTokens: start.returningTokens ?? 0,
      reusedTokens: start.reusedTokens ?? 0,
    };
    this.#runs.push(run);
    return run;
  }

  /** Records the end of a run; later calls for the same run are ignored. */
  finish(run: Run, end: RunEnd): void {
    if (run.end !== "running") return;
    run.end = end;
    run.endedMonotonicMs = monotonicMs();
  }

  list(): readonly Run[] {
    return this.#runs;
  }

  reset(): void {
    this.#runs = [];
  }
}

export function summarizeRuns(runs: readonly Run[]): RunSummary {
  const sum: RunSummary = {
    runs: 0,
    completed: 0,
    cancelled: 0,
    cut: 0,
    crashed: 0,
    running: 0,
    promptTokens: 0,
    returningTokens: 0,
    reusedTokens: 0,
  };
  for (const run of runs) {
    sum.runs += 1;
    sum[run.end] += 1;
    sum.promptTokens += run.promptTokens;
    sum.returningTokens += run.returningTokens;
    sum.reusedTokens += run.reusedTokens;
  }
  return sum;
}

/** Counts the runs by `field`; runs with an empty value are left out. */
export function countRunsBy(
  runs: readonly Run[],
  field: "requestId" | "idempotencyKey",
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const run of runs) {
    const key = run[field];
    if (key === "") continue;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}
