import { monotonicMs } from "../truth/index.ts";

/** The load of a target at one moment. */
export interface LoadSample {
  readonly running_requests: number;
  readonly waiting_requests: number;
  readonly running_tokens: number;
}

const IDLE: LoadSample = {
  running_requests: 0,
  waiting_requests: 0,
  running_tokens: 0,
};

interface TimedSample {
  readonly sample: LoadSample;
  readonly atMs: number;
}

/** Reports the load of a target with a configured lag. */
export class LoadReports {
  #lagMs: number;
  #samples: TimedSample[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  set lagMs(lagMs: number) {
    this.#lagMs = lagMs;
  }

  record(sample: LoadSample): void {
    const nowMs = monotonicMs();
    this.#samples.push({ sample, atMs: nowMs });
    this.#dropBefore(nowMs - this.#lagMs);
  }

  /** The load as of `lagMs` ago; zero before the first sample. */
  read(): LoadSample & { readonly measured_at_ms: number } {
    const asOfMs = monotonicMs() - this.#lagMs;
    this.#dropBefore(asOfMs);
    const first = this.#samples[0];
    const sample = first && first.atMs <= asOfMs ? first.sample : IDLE;
    return { ...sample, measured_at_ms: Math.floor(asOfMs) };
  }

  /** Drops all samples before `asOfMs` except the latest of them. */
  #dropBefore(asOfMs: number): void {
    let stale = 0;
    while ((this.#samples[stale + 1]?.atMs ?? Infinity) <= asOfMs) stale += 1;
    if (stale > 0) this.#samples.splice(0, stale);
  }
}
