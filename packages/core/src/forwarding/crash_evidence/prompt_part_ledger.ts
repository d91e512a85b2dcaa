import { CrashRecord } from "./crash_record.ts";

/** The suspect parts of one request that a target's crash interrupted. */
export interface SuspectPrompt {
  readonly parts: readonly string[];
  /** Whether the target was responding to this request, as far as is known. */
  readonly hasResponse: boolean;
  /** Whether the target had gone on after the beginning of its response. */
  readonly isAdvanced?: boolean | undefined;
  /**
   * Whether the request was a suspect of an earlier crash and was sent where no
   * other suspect ran.
   */
  readonly isIsolated?: boolean | undefined;
}

/** The suspects among the requests that one daemon had at a crashed target. */
export interface PromptCrashReport {
  /** The incarnation of the target. */
  readonly target: string;
  readonly suspects: readonly SuspectPrompt[];
}

/**
 * Parts that crash the targets that respond to a prompt with all of them. They
 * are several only while the crashes do not tell them apart.
 */
export interface QuarantinedParts {
  readonly parts: readonly string[];
  readonly crashes: readonly string[];
}

/** A part that did not cause the crashes, since responses to it are complete. */
export interface SoundPart {
  readonly part: string;
  readonly crashes: readonly string[];
}

/** Evidence against a part, over all crashes, from which it is quarantined. */
const QUARANTINE_EVIDENCE = 6;
/** Evidence from which the part's proof of soundness concerns all daemons. */
const ANNOUNCED_EVIDENCE = 3;
/**
 * Crashes of one part within this time count once. In between, responses to
 * other requests with the part clear it, unless it causes the crashes.
 */
const SAME_CAUSE_WINDOW_MS = 200;
/**
 * The same for the crash of a target that ran a suspect of an earlier crash. The
 * suspect was sent after that crash, so both have the same cause only if targets
 * were lost together in between.
 */
const SAME_CAUSE_WINDOW_OF_ISOLATED_MS = 50;
/** How long a crash is evidence. */
const EVIDENCE_TTL_MS = 120_000;
/**
 * Within this time of a crash, all daemons have reported their suspects. A later
 * report is of another crash: while the store is away, a target that starts
 * again is not known as another incarnation.
 */
const REPORT_DELAY_MS = 1_000;
/** How long a response proves that its parts do not crash targets. */
const SOUND_TTL_MS = 2_000;
/** Matches the longest lease of the platform's store. */
const QUARANTINE_TTL_MS = 600_000;
/** Limits of the state; the oldest entries are evicted first. */
const MAX_CRASHES = 128;
const MAX_QUARANTINED = 64;
const MAX_SOUND_PARTS = 4_000;
/** Suspects that one report names. */
const MAX_REPORTED_SUSPECTS = 32;
/** Longer ids are not tracked, since clients choose them. */
export const MAX_PART_ID_LENGTH = 64;

interface Quarantine extends QuarantinedParts {
  readonly untilMs: number;
}

/**
 * Finds prompt parts that crash each target that begins to respond to them,
 * although no two requests are alike. Suspects of a crash are the shared parts
 * of the requests that it interrupted. Only a complete response proves that its
 * parts are sound, and withdraws the evidence from the crashes before it: a
 * target may send any number of events before it crashes because of them.
 *
 * Reports and proofs are facts about single crashes and can arrive in any
 * order, so daemons that exchange them reach the same conclusion.
 */
export class PromptPartLedger {
  /** By name of the crash, the oldest first. */
  readonly #crashes = new Map<string, CrashRecord>();
  /** The name of the latest crash of a target. */
  readonly #latestCrash = new Map<string, string>();
  #quarantined: Quarantine[] = [];
  readonly #soundAtMs = new Map<string, number>();

  quarantined(nowMs: number): readonly QuarantinedParts[] {
    if (this.#quarantined.some(({ untilMs }) => nowMs >= untilMs)) {
      this.#quarantined = this.#quarantined.filter(({ untilMs }) =>
        nowMs < untilMs
      );
    }
    return this.#quarantined;
  }

  /** Whether a response proved within the last seconds that the part is sound. */
  isProvenSound(part: string, nowMs: number): boolean {
    return nowMs - (this.#soundAtMs.get(part) ?? -Infinity) < SOUND_TTL_MS;
  }

  /** The quarantine that rejects a prompt with these parts, if any. */
  findQuarantine(
    parts: readonly string[],
    nowMs: number,
  ): QuarantinedParts | undefined {
    return this.quarantined(nowMs).find((quarantine) =>
      quarantine.parts.every((part) => parts.includes(part))
    );
  }

  /** Whether a part is suspected of a crash and was not proven sound since. */
  isSuspect(parts: readonly string[], nowMs: number): boolean {
    return parts.some((part) =>
      !this.isProvenSound(part, nowMs) && this.#evidenceAgainst(part) > 0
    );
  }

  /** Records a report and returns the parts that it quarantines, if any. */
  recordCrash(
    { target, suspects }: PromptCrashReport,
    nowMs: number,
  ): QuarantinedParts | undefined {
    const record = this.#recordOf(this.#nameCrash(target, nowMs), nowMs);
    if (record.isExplained) return undefined;
    if (suspects.some(({ parts }) => this.#isQuarantined(parts))) {
      record.explain();
      return undefined;
    }
    for (const suspect of suspects) record.addSuspect(suspect);
    const parts = this.#findCause(record);
    if (parts === undefined) return undefined;
    const crashes = this.#crashesOf(parts[0]!);
    this.#quarantine({ parts, crashes }, nowMs);
    return { parts, crashes };
  }

  /**
   * Records that a response to a request with these parts is complete. Returns
   * the proofs that all daemons need.
   */
  recordSound(parts: readonly string[], nowMs: number): SoundPart[] {
    const proofs: SoundPart[] = [];
    for (const part of parts) {
      this.#soundAtMs.delete(part);
      this.#soundAtMs.set(part, nowMs);
      const quarantines = this.#quarantined.filter((quarantine) =>
        quarantine.parts.includes(part)
      );
      const isNews = quarantines.length > 0 ||
        this.#evidenceAgainst(part) >= ANNOUNCED_EVIDENCE;
      const crashes = new Set([
        ...quarantines.flatMap((quarantine) => quarantine.crashes),
        ...this.#crashesOf(part),
      ]);
      const proof = { part, crashes: [...crashes] };
      this.#clearRecent(part, nowMs);
      this.recordProof(proof, nowMs);
      if (isNews) proofs.push(proof);
    }
    evictOldest(this.#soundAtMs, MAX_SOUND_PARTS);
    return proofs;
  }

  /** Records a daemon's proof that a part did not cause some crashes. */
  recordProof({ part, crashes }: SoundPart, nowMs: number): void {
    for (const crash of crashes) this.#recordOf(crash, nowMs).clear(part);
    this.#quarantined = this.#quarantined
      .map((quarantine) => this.#withoutCleared(quarantine))
      .filter(({ parts }) => parts.length > 0);
  }

  /**
   * Records that another daemon quarantined parts. Returns what this daemon
   * knows to be sound among them.
   */
  recordQuarantine(
    quarantined: QuarantinedParts,
    nowMs: number,
  ): readonly SoundPart[] {
    const { parts } = this.#withoutCleared(quarantined);
    const { crashes } = quarantined;
    const isKnown = parts.length === 0 || this.#isQuarantined(parts);
    if (!isKnown) this.#quarantine({ parts, crashes }, nowMs);
    return quarantined.parts.filter((part) => !parts.includes(part))
      .map((part) => ({ part, crashes }));
  }

  /** Ends the quarantine of these parts, by an operator or at its end. */
  release(parts: readonly string[]): void {
    this.#quarantined = this.#quarantined.filter((quarantine) =>
      !haveSameParts(quarantine.parts, parts)
    );
  }

  /** Whether a prompt with these parts has all parts of a quarantine. */
  #isQuarantined(parts: readonly string[]): boolean {
    return this.#quarantined.some((quarantine) =>
      quarantine.parts.every((part) => parts.includes(part))
    );
  }

  #withoutCleared<Kind extends QuarantinedParts>(quarantine: Kind): Kind {
    const { crashes } = quarantine;
    if (crashes.length === 0) return quarantine;
    const parts = quarantine.parts.filter((part) =>
      !crashes.every((crash) => this.#crashes.get(crash)?.isCleared(part))
    );
    return { ...quarantine, parts };
  }

  /** The parts with the most evidence of the suspect that has most of it. */
  #findCause({ suspects }: CrashRecord): readonly string[] | undefined {
    let cause: readonly string[] | undefined;
    let causeEvidence = QUARANTINE_EVIDENCE - 1;
    for (const { parts } of suspects) {
      const evidence = parts.map((part) => this.#evidenceAgainst(part));
      const most = Math.max(...evidence);
      if (most <= causeEvidence) continue;
      cause = parts.filter((_, index) => evidence[index] === most);
      causeEvidence = most;
    }
    return cause;
  }

  #evidenceAgainst(part: string): number {
    let total = 0;
    let counted = 0;
    let countedAtMs = -Infinity;
    for (const record of this.#crashes.values()) {
      const evidence = record.evidenceAgainst(part);
      if (evidence === 0) continue;
      const windowMs = record.hasIsolatedSuspect
        ? SAME_CAUSE_WINDOW_OF_ISOLATED_MS
        : SAME_CAUSE_WINDOW_MS;
      const isSameCause = record.atMs - countedAtMs < windowMs;
      if (!isSameCause) {
        counted = 0;
        countedAtMs = record.atMs;
      }
      total += Math.max(0, evidence - counted);
      counted = Math.max(counted, evidence);
    }
    return total;
  }

  #crashesOf(part: string): string[] {
    const crashes: string[] = [];
    for (const [crash, record] of this.#crashes) {
      if (record.evidenceAgainst(part) > 0) crashes.push(crash);
    }
    return crashes;
  }

  /** Clears the part also of crashes of which a report may still arrive. */
  #clearRecent(part: string, nowMs: number): void {
    for (const record of this.#crashes.values()) {
      if (nowMs - record.atMs < REPORT_DELAY_MS) record.clear(part);
    }
  }

  #quarantine({ parts, crashes }: QuarantinedParts, nowMs: number): void {
    // The parts explain the crashes, which are no evidence against others.
    for (const crash of crashes) this.#crashes.get(crash)?.explain();
    const others = this.#quarantined.filter((quarantine) =>
      !parts.every((part) => quarantine.parts.includes(part))
    );
    const untilMs = nowMs + QUARANTINE_TTL_MS;
    this.#quarantined = [...others, { parts, crashes, untilMs }]
      .slice(-MAX_QUARANTINED);
  }

  /** All daemons name the crashes of a target by their order. */
  #nameCrash(target: string, nowMs: number): string {
    const latest = this.#latestCrash.get(target) ?? target;
    const record = this.#crashes.get(latest);
    if (!record || nowMs - record.atMs < REPORT_DELAY_MS) return latest;
    const next = `${target}#${Number(latest.split("#")[1] ?? 1) + 1}`;
    this.#latestCrash.set(target, next);
    evictOldest(this.#latestCrash, MAX_CRASHES);
    return next;
  }

  #recordOf(crash: string, nowMs: number): CrashRecord {
    const existing = this.#crashes.get(crash);
    if (existing) return existing;
    for (const [oldest, { atMs }] of this.#crashes) {
      if (nowMs - atMs < EVIDENCE_TTL_MS) break;
      this.#crashes.delete(oldest);
    }
    const record = new CrashRecord(nowMs);
    this.#crashes.set(crash, record);
    evictOldest(this.#crashes, MAX_CRASHES);
    return record;
  }
}

/** Whether two lists hold the same parts in the same order. */
export function haveSameParts(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return left.length === right.length &&
    left.every((part, index) => part === right[index]);
}

/**
 * The suspects that are worth reporting, each combination of parts once; those
 * whose response had begun come first.
 */
export function selectSuspects(
  suspects: readonly SuspectPrompt[],
): SuspectPrompt[] {
  const selected: SuspectPrompt[] = [];
  const begunFirst = [
    ...suspects.filter(({ hasResponse }) => hasResponse),
    ...suspects.filter(({ hasResponse }) => !hasResponse),
  ];
  for (const suspect of begunFirst) {
    if (selected.length >= MAX_REPORTED_SUSPECTS) break;
    const isKnown = selected.some(({ parts }) =>
      haveSameParts(parts, suspect.parts)
    );
    if (!isKnown) selected.push(suspect);
  }
  return selected;
}

function evictOldest(entries: Map<string, unknown>, maxEntries: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= maxEntries) return;
    entries.delete(key);
  }
}
