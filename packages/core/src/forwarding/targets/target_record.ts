/** The load that a target reports with a response. */
export interface ReportedLoad {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly slots: number;
  /**
   * How long work takes now, as a multiple of the usual (1: as usual). Undefined
   * where the target does not report it.
   */
  readonly slowdown?: number | undefined;
}

/** Running and waiting requests of a reported load. */
export function totalRequests(
  { runningRequests, waitingRequests }: ReportedLoad,
): number {
  return runningRequests + waitingRequests;
}

/** A request that is in flight at a target. */
export interface InFlightAttempt {
  readonly startedAtMs: number;
  /** Prompt tokens that the target has yet to read; 0 after its first event. */
  unreadTokens: number;
  /** When the last byte of the response was received. */
  lastByteAtMs: number;
  /** Whether any byte of the response was received. */
  hasResponse: boolean;
  /** Complete events of the response that were received. */
  eventsReceived: number;
  /** Whether the response is not read, because its client reads slowly. */
  isPaused?: boolean;
}

/** The outcome of an attempt, as far as it concerns the target's health. */
export type AttemptOutcome = "good" | "refused" | "failed" | "silent";

/** Half-life of the weight of a reported load against the expected load. */
const REPORTED_LOAD_HALF_LIFE_MS = 2_000;
/**
 * Half-life of the reported load of plain targets that report their slowdown.
 * Their work takes tens of ms, so their load changes sooner than that of engines.
 */
const CONTENDED_LOAD_HALF_LIFE_MS = 700;
/**
 * Half-life of a reported slowdown. Targets report another one many times a
 * second, so a report of half a second ago says little about the present.
 */
const SLOWDOWN_HALF_LIFE_MS = 250;
/** Weight of a new sample in the moving average of the usual first byte. */
const USUAL_FIRST_BYTE_WEIGHT = 0.1;
/** Weight of a new sample in the moving average of the failure share. */
const FAILURE_WEIGHT = 0.15;
/** Half-life of the failure share and the delay of a target. */
const PENALTY_HALF_LIFE_MS = 4_000;
/** First suspension of a target that could not be reached. */
const FIRST_SUSPENSION_MS = 250;
/** Longest suspension, so that a recovered target is used again soon. */
const MAX_SUSPENSION_MS = 2_000;
/** Weight of a new sample in the moving average of the excess delay. */
const DELAY_WEIGHT = 0.3;

/** Load and health of one target incarnation, as observed by this daemon. */
export class TargetRecord {
  readonly attempts = new Set<InFlightAttempt>();
  #reportedOtherRequests = 0;
  #reportedAtMs = -Infinity;
  #announcedOtherRequests = 0;
  #announcedAtMs = -Infinity;
  #lastReport: ReportedLoad | undefined;
  #usualFirstByteMs: number | undefined;
  #failureShare = 0;
  #failureAtMs = 0;
  #delayMs = 0;
  #delayAtMs = 0;
  #suspendedUntilMs = 0;
  #unreachableAtMs = -Infinity;
  #heardAtMs = -Infinity;
  #suspensionMs = 0;
  /** When the target takes requests of this daemon again. */
  awayUntilMs = -Infinity;
  /** When a permit may be had, if the target names a limit. */
  permitFromMs = -Infinity;

  /** Until when the target is cold, where its service limits that. */
  coldUntilMs = -Infinity;

  /** In-flight requests of this daemon at the target. */
  get ownRequests(): number {
    return this.attempts.size;
  }

  get suspendedUntilMs(): number {
    return this.#suspendedUntilMs;
  }

  /** When an attempt last found the target unreachable or silent. */
  get unreachableAtMs(): number {
    return this.#unreachableAtMs;
  }

  /** When the target last sent a byte to this daemon. */
  get heardAtMs(): number {
    let atMs = this.#heardAtMs;
    for (const { hasResponse, lastByteAtMs } of this.attempts) {
      if (hasResponse) atMs = Math.max(atMs, lastByteAtMs);
    }
    return atMs;
  }

  /** Whether an attempt is finding out if the target is reachable again. */
  get isOnTrial(): boolean {
    if (this.#unreachableAtMs <= this.heardAtMs) return false;
    for (const { hasResponse, startedAtMs } of this.attempts) {
      if (!hasResponse && startedAtMs >= this.#unreachableAtMs) return true;
    }
    return false;
  }

  /** Prompt tokens of own requests that the target has yet to read. */
  get unreadTokens(): number {
    let tokens = 0;
    for (const attempt of this.attempts) tokens += attempt.unreadTokens;
    return tokens;
  }

  /** Requests of other daemons that the target last reported to this daemon. */
  get reportedOtherRequests(): number {
    return this.#reportedOtherRequests;
  }

  /** The last load that the target reported to this daemon. */
  get lastReport(): ReportedLoad | undefined {
    return this.#lastReport;
  }

  /** When the target last reported its load to this daemon. */
  get lastReportAtMs(): number {
    return this.#reportedAtMs;
  }

  /** Whether the target states in its reports how long work takes. */
  get reportsSlowdown(): boolean {
    return this.#lastReport?.slowdown !== undefined;
  }

  /** How long work takes now, as a multiple of the usual; 1 if not reported. */
  slowdown(nowMs: number): number {
    const excess = (this.#lastReport?.slowdown ?? 1) - 1;
    const ageMs = nowMs - this.#reportedAtMs;
    return 1 + decay(excess, ageMs, SLOWDOWN_HALF_LIFE_MS);
  }

  /**
   * Moving average of the time to the first byte, without the slowdown that the
   * response reported. Undefined for engines, and until a response reported one.
   */
  get usualFirstByteMs(): number | undefined {
    return this.#usualFirstByteMs;
  }

  /** Weight of the last report to this daemon, from 1 when it is new to 0. */
  ownReportWeight(nowMs: number): number {
    return this.#reportWeight(this.#reportedAtMs, nowMs);
  }

  /**
   * Estimated in-flight requests of all daemons at the target. The older the
   * latest report or announcement is, the more the expected load counts.
   */
  estimateLoad(nowMs: number, expectedOtherRequests: number): number {
    const isAnnounced = this.#announcedAtMs > this.#reportedAtMs;
    const known = isAnnounced
      ? this.#announcedOtherRequests
      : this.#reportedOtherRequests;
    const weight = this.#reportWeight(this.reportedAtMs, nowMs);
    return this.attempts.size + weight * known +
      (1 - weight) * expectedOtherRequests;
  }

  /** When the latest known load was reported to any daemon. */
  get reportedAtMs(): number {
    return Math.max(this.#reportedAtMs, this.#announcedAtMs);
  }

  /** Age of the last reported load, for logs. */
  reportedLoadAgeMs(nowMs: number): number {
    return nowMs - this.reportedAtMs;
  }

  recordReportedLoad(reported: ReportedLoad, nowMs: number): void {
    this.#reportedOtherRequests = Math.max(
      0,
      totalRequests(reported) - this.attempts.size,
    );
    this.#reportedAtMs = nowMs;
    this.#lastReport = reported;
  }

  /** Records a load that the target reported to another daemon. */
  recordAnnouncedLoad(requests: number, nowMs: number): void {
    this.#announcedOtherRequests = Math.max(0, requests - this.attempts.size);
    this.#announcedAtMs = nowMs;
  }

  /** Share of recent attempts that failed at the target, from 0 to 1. */
  failureShare(nowMs: number): number {
    const ageMs = nowMs - this.#failureAtMs;
    return decay(this.#failureShare, ageMs, PENALTY_HALF_LIFE_MS);
  }

  /** Moving average of how much later than expected responses started. */
  delayMs(nowMs: number): number {
    const ageMs = nowMs - this.#delayAtMs;
    return decay(this.#delayMs, ageMs, PENALTY_HALF_LIFE_MS);
  }

  recordFirstByte(actualMs: number, expectedMs: number, nowMs: number): void {
    const excessMs = Math.max(0, actualMs - expectedMs);
    const previous = this.delayMs(nowMs);
    this.#delayMs = previous + DELAY_WEIGHT * (excessMs - previous);
    this.#delayAtMs = nowMs;
  }

  /** Records the first byte of a plain target that reports its slowdown. */
  recordSlowedFirstByte(actualMs: number, slowdown: number): void {
    const usualMs = actualMs / slowdown;
    const previous = this.#usualFirstByteMs ?? usualMs;
    this.#usualFirstByteMs = previous +
      USUAL_FIRST_BYTE_WEIGHT * (usualMs - previous);
  }

  /** Records that the target wants no requests of this daemon for a time. */
  stayAway(forMs: number, nowMs: number): void {
    this.awayUntilMs = Math.max(this.awayUntilMs, nowMs + forMs);
  }

  /** Whether the target takes requests of this daemon. */
  isTaking(nowMs: number): boolean {
    return nowMs >= this.awayUntilMs;
  }

  recordOutcome(outcome: AttemptOutcome, nowMs: number): void {
    const previous = this.failureShare(nowMs);
    const sample = outcome === "good" ? 0 : 1;
    this.#failureShare = previous + FAILURE_WEIGHT * (sample - previous);
    this.#failureAtMs = nowMs;
    if (outcome === "good" || outcome === "refused") this.#heardAtMs = nowMs;
    if (outcome === "good") this.#suspensionMs = 0;
  }

  /**
   * Suspends the target. Each suspension is twice as long as the one before, up
   * to `MAX_SUSPENSION_MS`, until an attempt succeeds.
   */
  suspend(nowMs: number): void {
    this.#unreachableAtMs = nowMs;
    if (nowMs < this.#suspendedUntilMs) return;
    this.#suspensionMs = this.#suspensionMs === 0
      ? FIRST_SUSPENSION_MS
      : Math.min(MAX_SUSPENSION_MS, this.#suspensionMs * 2);
    this.#suspendedUntilMs = nowMs + this.#suspensionMs;
  }

  /**
   * Time since the last byte of any in-flight response; 0 without in-flight
   * requests. A target can't send to an attempt that is paused.
   */
  silentForMs(nowMs: number): number {
    let latestMs = -Infinity;
    for (const attempt of this.attempts) {
      if (attempt.isPaused) continue;
      latestMs = Math.max(latestMs, attempt.lastByteAtMs);
    }
    return latestMs === -Infinity ? 0 : nowMs - latestMs;
  }

  #reportWeight(reportedAtMs: number, nowMs: number): number {
    const halfLifeMs = this.#usualFirstByteMs === undefined
      ? REPORTED_LOAD_HALF_LIFE_MS
      : CONTENDED_LOAD_HALF_LIFE_MS;
    return decay(1, nowMs - reportedAtMs, halfLifeMs);
  }
}

/** Decays `value` exponentially; the shortcut is for zero, the usual value. */
function decay(value: number, ageMs: number, halfLifeMs: number): number {
  if (value === 0) return 0;
  return value * 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}
