import { monotonicMs } from "../truth/index.ts";

/** A request that waits or runs in a batch. */
export abstract class BatchJob {
  /** 0 is low, 9 is high. */
  abstract readonly priority: number;
  /** Time to process the uncached part of the prompt. */
  abstract readonly prefillMs: number;
  /** Tokens of the prompt and of the completion so far. */
  abstract readonly contextTokens: number;

  /** Called once when the job starts to run. */
  abstract start(): void;

  /** Generates up to one token; returns true once the job has ended. */
  abstract step(): boolean;

  /** Called once when the batch ends the job before its last token. */
  abstract abort(end: "cancelled" | "crashed"): void;
}

/** The size limit and the step interval of a batch. */
export interface BatchOptions {
  readonly maxRunningRequests: number;
  readonly interTokenMs: number;
}

interface RunningJob {
  readonly job: BatchJob;
  /** Time at which the prefill of the prompt ends. */
  readonly readyAtMs: number;
}

/**
 * Continuous batching. Each step generates one token for each running
 * request. Free slots go to the waiting request of the highest priority, in
 * the order of arrival among equals. Prompts are prefilled one at a time.
 */
export class Batch {
  readonly #options: BatchOptions;
  readonly #onChange: () => void;
  readonly #waiting: BatchJob[] = [];
  readonly #running = new Map<BatchJob, RunningJob>();
  #prefillFreeAtMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: BatchOptions, onChange: () => void) {
    this.#options = options;
    this.#onChange = onChange;
  }

  get runningRequests(): number {
    return this.#running.size;
  }

  get waitingRequests(): number {
    return this.#waiting.length;
  }

  get runningTokens(): number {
    let tokens = 0;
    for (const job of this.#running.keys()) tokens += job.contextTokens;
    return tokens;
  }

  add(job: BatchJob): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority < job.priority
    );
    if (index === -1) this.#waiting.push(job);
    else this.#waiting.splice(index, 0, job);
    this.#admitWaiting();
    this.#onChange();
  }

  /** Removes a waiting or running job; returns false if there is none. */
  cancel(job: BatchJob): boolean {
    if (!this.#remove(job)) return false;
    job.abort("cancelled");
    this.#admitWaiting();
    this.#onChange();
    return true;
  }

  /** Aborts all jobs, as a crash of the process does. */
  crash(): void {
    const jobs = [...this.#running.keys(), ...this.#waiting];
    this.#running.clear();
    this.#waiting.length = 0;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#prefillFreeAtMs = 0;
    for (const job of jobs) job.abort("crashed");
    this.#onChange();
  }

  #remove(job: BatchJob): boolean {
    if (this.#running.delete(job)) return true;
    const index = this.#waiting.indexOf(job);
    if (index === -1) return false;
    this.#waiting.splice(index, 1);
    return true;
  }

  #admitWaiting(): void {
    while (this.#running.size < this.#options.maxRunningRequests) {
      const job = this.#waiting.shift();
      if (!job) break;
      const startMs = Math.max(monotonicMs(), this.#prefillFreeAtMs);
      this.#prefillFreeAtMs = startMs + job.prefillMs;
      this.#running.set(job, { job, readyAtMs: this.#prefillFreeAtMs });
      job.start();
    }
    this.#schedule();
  }

  #schedule(): void {
    if (this.#timer || this.#running.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#step();
    }, this.#options.interTokenMs);
  }

  #step(): void {
    const nowMs = monotonicMs();
    let hasChanged = false;
    for (const { job, readyAtMs } of [...this.#running.values()]) {
      if (readyAtMs > nowMs || !this.#running.has(job)) continue;
      if (!job.step()) continue;
      this.#running.delete(job);
      hasChanged = true;
    }
    this.#admitWaiting();
    if (hasChanged) this.#onChange();
  }
}
