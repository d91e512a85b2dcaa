import type { CrashReport } from "./poison_messages.ts";

/** The limits of a `PoisonLedger`. */
export interface PoisonSettings {
  /** Crashes after which content is refused. */
  readonly maxCrashes: number;
  /** How long a crash counts against the requests that died in it. */
  readonly evidenceTtlMs: number;
  /**
   * Reports of different daemons about one target within this time are about
   * the same crash.
   */
  readonly sameCrashWindowMs: number;
  /** Most digests that are remembered; the oldest evidence goes first. */
  readonly maxDigests: number;
}

/** Settings by which content may crash two targets at most. */
export const DEFAULT_POISON_SETTINGS: PoisonSettings = {
  maxCrashes: 2,
  evidenceTtlMs: 3_600_000,
  sameCrashWindowMs: 1_000,
  maxDigests: 20_000,
};

/**
 * What is known of a request's content. `clear`: nothing. `suspect`: it was
 * running on a target that crashed, and may run again only where no other
 * suspect runs. `quarantined`: it is refused.
 */
export type PoisonDecision = "clear" | "suspect" | "quarantined";

interface Crash {
  readonly crashId: string;
  readonly target: string;
  readonly reporter: string;
  readonly atMs: number;
}

/**
 * Counts, for each content, the crashes of targets that it was running on.
 *
 * After the first crash all requests that died in it are suspects. Each runs
 * next apart from other suspects, so a second crash singles the cause out:
 * requests without evidence that die in it have one crash and the cause has
 * two. A request that runs to its end is cleared. Where daemons disagree for a
 * while and two suspects share a target, both may be refused; that spares
 * targets and is mended by an operator.
 */
export class PoisonLedger {
  readonly #settings: PoisonSettings;
  readonly #evidence = new Map<string, Crash[]>();
  readonly #quarantined = new Map<string, number>();

  constructor(settings: PoisonSettings) {
    this.#settings = settings;
  }

  judge(digest: string, nowMs: number): PoisonDecision {
    if (this.#quarantined.has(digest)) return "quarantined";
    return this.#freshCrashes(digest, nowMs).length > 0 ? "suspect" : "clear";
  }

  /** Number of crashes that count against the content. */
  crashes(digest: string, nowMs: number): number {
    const quarantined = this.#quarantined.get(digest);
    return quarantined ?? this.#freshCrashes(digest, nowMs).length;
  }

  /** Takes a report in; returns the digests that are refused from now on. */
  noteCrash(report: CrashReport, nowMs: number): string[] {
    const crash: Crash = { ...report, atMs: nowMs };
    const refused: string[] = [];
    for (const digest of new Set(report.digests)) {
      const crashes = this.#freshCrashes(digest, nowMs);
      if (crashes.some((known) => this.#isSame(known, crash))) continue;
      crashes.push(crash);
      this.#evidence.delete(digest);
      this.#evidence.set(digest, crashes);
      if (crashes.length < this.#settings.maxCrashes) continue;
      if (this.#quarantined.has(digest)) continue;
      this.#quarantined.set(digest, crashes.length);
      refused.push(digest);
    }
    this.#dropOldest();
    return refused;
  }

  /**
   * Forgets the evidence against content that ran to its end. Content that is
   * quarantined stays so until `release`.
   */
  noteCompleted(digest: string): boolean {
    if (this.#quarantined.has(digest)) return false;
    return this.#evidence.delete(digest);
  }

  /** Refuses content on the word of a peer, another zone or the platform. */
  quarantine(digest: string, crashes: number): boolean {
    if (this.#quarantined.has(digest)) return false;
    this.#quarantined.set(digest, crashes);
    return true;
  }

  /** Serves content again, on the word of an operator. */
  release(digest: string): boolean {
    this.#evidence.delete(digest);
    return this.#quarantined.delete(digest);
  }

  /** For the dump of the daemon's state. */
  list(): { suspects: string[]; quarantined: string[] } {
    const quarantined = [...this.#quarantined.keys()];
    const suspects = [...this.#evidence.keys()].filter((digest) =>
      !this.#quarantined.has(digest)
    );
    return { suspects, quarantined };
  }

  #freshCrashes(digest: string, nowMs: number): Crash[] {
    const crashes = this.#evidence.get(digest) ?? [];
    const oldestMs = nowMs - this.#settings.evidenceTtlMs;
    return crashes.filter((crash) => crash.atMs >= oldestMs);
  }

  #isSame(known: Crash, crash: Crash): boolean {
    if (known.crashId === crash.crashId) return true;
    if (known.target !== crash.target) return false;
    if (known.reporter === crash.reporter) return false;
    return crash.atMs - known.atMs <= this.#settings.sameCrashWindowMs;
  }

  #dropOldest(): void {
    for (const digest of this.#evidence.keys()) {
      if (this.#evidence.size <= this.#settings.maxDigests) return;
      this.#evidence.delete(digest);
    }
  }
}
