import { readdirSync, readFileSync } from "node:fs";

const BYTES_PER_KB = 1_024;
const SAMPLE_INTERVAL_MS = 20;

/** What a process of this machine uses. */
export interface ProcessUsage {
  readonly residentBytes: number;
  readonly descriptors: number;
}

/** Reads what a running process uses. */
export function readUsage(pid: number): ProcessUsage {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, residentKb = "0"] = /^VmRSS:\s+(\d+) kB$/m.exec(status) ?? [];
  return {
    residentBytes: Number(residentKb) * BYTES_PER_KB,
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  };
}

/** Samples what a process uses, and keeps the highest values. */
export class UsageSampler {
  readonly #pid: number;
  readonly #interval: NodeJS.Timeout;
  #peak: ProcessUsage = { residentBytes: 0, descriptors: 0 };

  constructor(pid: number) {
    this.#pid = pid;
    this.#interval = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /** Ends the samples and returns the highest values. */
  stop(): ProcessUsage {
    clearInterval(this.#interval);
    return this.#peak;
  }

  #sample(): void {
    try {
      const { residentBytes, descriptors } = readUsage(this.#pid);
      this.#peak = {
        residentBytes: Math.max(this.#peak.residentBytes, residentBytes),
        descriptors: Math.max(this.#peak.descriptors, descriptors),
      };
    } catch {
      // The process has ended, which its own check reports.
    }
  }
}
