/** What a target says of its load with an answer. */
export interface ReportedLoad {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly slots: number;
}

/** A request on its way at a target. */
export interface InFlightAttempt {
  readonly startedAtMs: number;
  /** Prompt tokens that the target has to read, until its first event. */
  unreadTokens: number;
  /** When the target last sent a byte of the answer. */
  lastHeardAtMs: number;
  /** Whether any byte of an answer has come. */
  hasAnswer: boolean;
}

/** How a try ended, as far as it tells something of the target. */
export type AttemptOutcome = "good" | "refused" | "failed" | "silent";

/** Time after which half of a told load of others is no longer believed. */
const TOLD_LOAD_HALF_LIFE_MS = 2_000;
/** Weight of one more answer in the share of failures. */
const FAILURE_WEIGHT = 0.15;
/** Time after which half of what is held against a target is forgotten. */
const DISTRUST_HALF_LIFE_MS = 4_000;
/** First time that a target is left alone after it could not be reached. */
const FIRST_SUSPENSION_MS = 250;
/** Longest such time, so that a target that is back is found soon. */
const MAX_SUSPENSION_MS = 2_000;
/** Weight of one more answer in the delay beyond what was expected. */
const DELAY_WEIGHT = 0.3;

/** What this daemon knows of one incarnation of a target. */
export class TargetRecord {
  readonly tries = new Set<InFlightAttempt>();
  #toldOthers = 0;
  #toldAtMs = -Infinity;
  #failureShare = 0;
  #failureAtMs = 0;
  #delayMs = 0;
  #delayAtMs = 0;
  #suspendedUntilMs = 0;
  #suspensionMs = 0;

  /** Requests of this daemon that the target works on. */
  get ownRequests(): number {
    return this.tries.size;
  }

  get suspendedUntilMs(): number {
    return this.#suspendedUntilMs;
  }

  /** Prompt tokens of this daemon's requests that the target has yet to read. */
  get unreadTokens(): number {
    let tokens = 0;
    for (const running of this.tries) tokens += running.unreadTokens;
    return tokens;
  }

  /** Requests of all daemons at the target, as far as is known. */
  estimateLoad(nowMs: number): number {
    const ageMs = nowMs - this.#toldAtMs;
    return this.tries.size +
      halve(this.#toldOthers, ageMs, TOLD_LOAD_HALF_LIFE_MS);
  }

  /** Age of the last told load, for logs. */
  reportedLoadAgeMs(nowMs: number): number {
    return nowMs - this.#toldAtMs;
  }

  recordReportedLoad(told: ReportedLoad, nowMs: number): void {
    const total = told.runningRequests + told.waitingRequests;
    this.#toldOthers = Math.max(0, total - this.tries.size);
    this.#toldAtMs = nowMs;
  }

  /** Share of recent tries that the target failed, from 0 to 1. */
  failureShare(nowMs: number): number {
    const ageMs = nowMs - this.#failureAtMs;
    return halve(this.#failureShare, ageMs, DISTRUST_HALF_LIFE_MS);
  }

  /** Time by which recent answers began later than was expected. */
  delayMs(nowMs: number): number {
    const ageMs = nowMs - this.#delayAtMs;
    return halve(this.#delayMs, ageMs, DISTRUST_HALF_LIFE_MS);
  }

  noteFirstByte(actualMs: number, expectedMs: number, nowMs: number): void {
    const excessMs = Math.max(0, actualMs - expectedMs);
    const known = this.delayMs(nowMs);
    this.#delayMs = known + DELAY_WEIGHT * (excessMs - known);
    this.#delayAtMs = nowMs;
  }

  recordOutcome(verdict: AttemptOutcome, nowMs: number): void {
    if (verdict === "refused") return;
    const known = this.failureShare(nowMs);
    const outcome = verdict === "good" ? 0 : 1;
    this.#failureShare = known + FAILURE_WEIGHT * (outcome - known);
    this.#failureAtMs = nowMs;
    if (verdict === "good") this.#suspensionMs = 0;
  }

  /** Leaves the target alone for a time that doubles until it answers. */
  suspend(nowMs: number): void {
    if (nowMs < this.#suspendedUntilMs) return;
    this.#suspensionMs = this.#suspensionMs === 0
      ? FIRST_SUSPENSION_MS
      : Math.min(MAX_SUSPENSION_MS, this.#suspensionMs * 2);
    this.#suspendedUntilMs = nowMs + this.#suspensionMs;
  }

  /**
   * For how long no answer has brought a byte while some are due; 0 where
   * nothing is due.
   */
  silentForMs(nowMs: number): number {
    let latestMs = -Infinity;
    for (const running of this.tries) {
      latestMs = Math.max(latestMs, running.lastHeardAtMs);
    }
    return latestMs === -Infinity ? 0 : nowMs - latestMs;
  }
}

/** What is left of `value` after its age; most values are zero. */
function halve(value: number, ageMs: number, halfLifeMs: number): number {
  if (value === 0) return 0;
  return value * 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}
