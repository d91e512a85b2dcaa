import type { CrashReport } from "./poison_messages.ts";

/** The limits of a `PoisonLedger`. */
export interface PoisonSettings {
  /** Weight of the crashes after which content is quarantined; 1 for most. */
  readonly maxCrashes: number;
  /**
   * How long a crash counts as evidence against the requests that it
   * interrupted.
   */
  readonly evidenceTtlMs: number;
  /**
   * Reports of different daemons about one target within this time count as the
   * same crash.
   */
  readonly sameCrashWindowMs: number;
  /**
   * Crashes of less than full weight within this time count once: targets that
   * are lost together interrupt the same content for a reason of their own.
   */
  readonly sameCauseWindowMs: number;
  /**
   * Maximum number of digests with evidence; the oldest evidence is evicted
   * first.
   */
  readonly maxDigests: number;
}

/** Default settings, which let the same content crash at most two targets. */
export const DEFAULT_POISON_SETTINGS: PoisonSettings = {
  maxCrashes: 2,
  evidenceTtlMs: 3_600_000,
  sameCrashWindowMs: 1_000,
  sameCauseWindowMs: 200,
  maxDigests: 20_000,
};

/**
 * Decision about the content of a request. `clear`: no evidence. `suspect`: the
 * content was running on a target that crashed, and may run again only on a
 * target that runs no other suspect. `quarantined`: the content is rejected.
 */
export type PoisonDecision = "clear" | "suspect" | "quarantined";

interface Crash {
  readonly crashId: string;
  readonly target: string;
  readonly reporter: string;
  readonly atMs: number;
  readonly weight: number;
}

/**
 * Counts, for each request content, the crashes of targets that were running
 * the content.
 *
 * After the first crash, all requests that the crash interrupted are suspects.
 * Each suspect runs next on a target without other suspects, so a second crash
 * identifies the cause: the cause then has two crashes, and requests without
 * previous evidence have one. A request that completes is cleared. While the
 * views of daemons disagree, two suspects may share a target and both may be
 * quarantined. That protects targets, and an operator can release the content.
 */
export class PoisonLedger {
  readonly #settings: PoisonSettings;
  readonly #evidence = new Map<string, Crash[]>();
  readonly #quarantined = new Map<string, number>();

  constructor(settings: PoisonSettings) {
    this.#settings = settings;
  }

  classify(digest: string, nowMs: number): PoisonDecision {
    if (this.#quarantined.has(digest)) return "quarantined";
    return this.#recentCrashes(digest, nowMs).length > 0 ? "suspect" : "clear";
  }

  /** Number of crashes that count as evidence against the content. */
  crashes(digest: string, nowMs: number): number {
    const quarantined = this.#quarantined.get(digest);
    return quarantined ?? this.#recentCrashes(digest, nowMs).length;
  }

  /** Records a crash report and returns the newly quarantined digests. */
  recordCrash(report: CrashReport, nowMs: number): string[] {
    const crash: Crash = { ...report, atMs: nowMs, weight: report.weight ?? 1 };
    const newlyQuarantined: string[] = [];
    for (const digest of new Set(report.digests)) {
      const crashes = this.#recentCrashes(digest, nowMs);
      if (crashes.some((entry) => this.#isSameCrash(entry, crash))) continue;
      if (crashes.some((entry) => this.#isSameCause(entry, crash))) continue;
      crashes.push(crash);
      this.#evidence.delete(digest);
      this.#evidence.set(digest, crashes);
      const weight = crashes.reduce((sum, entry) => sum + entry.weight, 0);
      if (weight < this.#settings.maxCrashes) continue;
      if (this.#quarantined.has(digest)) continue;
      this.#quarantined.set(digest, crashes.length);
      newlyQuarantined.push(digest);
    }
    this.#evictOldest();
    return newlyQuarantined;
  }

  /**
   * Deletes the evidence against content that completed. Quarantined content
   * stays quarantined until `release`.
   */
  recordCompletion(digest: string): boolean {
    if (this.#quarantined.has(digest)) return false;
    return this.#evidence.delete(digest);
  }

  /**
   * Quarantines content as reported by a peer, another zone or the platform.
   */
  quarantine(digest: string, crashes: number): boolean {
    if (this.#quarantined.has(digest)) return false;
    this.#quarantined.set(digest, crashes);
    return true;
  }

  /** Lifts the quarantine of content, as requested by an operator. */
  release(digest: string): boolean {
    this.#evidence.delete(digest);
    return this.#quarantined.delete(digest);
  }

  /** Lists the digests for the dump of the daemon's state. */
  list(): { suspects: string[]; quarantined: string[] } {
    const quarantined = [...this.#quarantined.keys()];
    const suspects = [...this.#evidence.keys()].filter((digest) =>
      !this.#quarantined.has(digest)
    );
    return { suspects, quarantined };
  }

  #recentCrashes(digest: string, nowMs: number): Crash[] {
    const crashes = this.#evidence.get(digest) ?? [];
    const oldestMs = nowMs - this.#settings.evidenceTtlMs;
    return crashes.filter((crash) => crash.atMs >= oldestMs);
  }

  #isSameCrash(recorded: Crash, crash: Crash): boolean {
    if (recorded.crashId === crash.crashId) return true;
    if (recorded.target !== crash.target) return false;
    if (recorded.reporter === crash.reporter) return false;
    return crash.atMs - recorded.atMs <= this.#settings.sameCrashWindowMs;
  }

  #isSameCause(recorded: Crash, { atMs, weight }: Crash): boolean {
    if (weight >= 1) return false;
    return atMs - recorded.atMs <= this.#settings.sameCauseWindowMs;
  }

  #evictOldest(): void {
    for (const digest of this.#evidence.keys()) {
      if (this.#evidence.size <= this.#settings.maxDigests) return;
      this.#evidence.delete(digest);
    }
  }
}
