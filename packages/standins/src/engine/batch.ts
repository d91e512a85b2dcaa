import { monotonicMs } from "../truth/index.ts";

/** A request inside a batch. */
export abstract class BatchJob {
  /** 0 is low, 9 is high. */
  abstract readonly priority: number;
  /** Time to process the part of the prompt that is not cached. */
  abstract readonly prefillMs: number;
  /** Tokens that the job holds in the batch. */
  abstract readonly contextTokens: number;

  /** Called once as the job enters the batch. */
  abstract start(): void;

  /** Gives out one token; returns true after the last one. */
  abstract step(): boolean;

  /** Called once when the job ends for another cause than its last token. */
  abstract abort(end: "cancelled" | "crashed"): void;
}

/** The limits and the speed of a batch. */
export interface BatchOptions {
  readonly maxRunningRequests: number;
  readonly interTokenMs: number;
}

interface RunningJob {
  readonly job: BatchJob;
  readonly readyAtMs: number;
}

/**
 * Continuous batching: at every step each running request gets one token,
 * and free places go to the waiting request of the highest priority, the
 * earliest first. Prompts are processed one after another.
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
    const after = this.#waiting.findIndex((other) =>
      other.priority < job.priority
    );
    if (after === -1) this.#waiting.push(job);
    else this.#waiting.splice(after, 0, job);
    this.#admitWaiting();
    this.#onChange();
  }

  /** Takes a job out, wherever it stands; false where it is not here. */
  cancel(job: BatchJob): boolean {
    if (!this.#remove(job)) return false;
    job.abort("cancelled");
    this.#admitWaiting();
    this.#onChange();
    return true;
  }

  /** Ends every job as a crash of the process would. */
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
