import { type QueuedRequest, TeamQueue } from "./team_queue.ts";

/** The limits of a `FairQueue`. */
export interface FairQueueSettings {
  /** Maximum number of queued requests. */
  readonly maxQueued: number;
  /**
   * Share of the capacity that surging teams leave free for the other teams,
   * if all of these keep within their shares.
   */
  readonly reserveRatio: number;
  /**
   * The reserve is at least this many standard deviations of the number of
   * requests in a full pool. This minimum determines the reserve of small
   * pools.
   */
  readonly reserveDeviations: number;
  /** How long a team counts as active after its last request. */
  readonly activeWindowMs: number;
  /** Maximum retry delay in the response to a rejected request. */
  readonly maxRetryAfterMs: number;
}

/** Default settings, without the queue length, which the pool configures. */
export const DEFAULT_FAIR_QUEUE_SETTINGS: Omit<
  FairQueueSettings,
  "maxQueued"
> = {
  reserveRatio: 0.2,
  reserveDeviations: 2.5,
  activeWindowMs: 60_000,
  maxRetryAfterMs: 30_000,
};

/** A rejected request with the delay after which the client may retry. */
export interface QueueRejection {
  readonly request: QueuedRequest;
  readonly reason: "queue-full" | "deadline-unreachable" | "deadline-passed";
  readonly retryAfterMs: number;
}

/** Sums of the weights of the active teams. */
interface ActiveWeights {
  readonly all: number;
  /** Sum over the active teams that are not surging. */
  readonly notSurging: number;
}

const MIN_RETRY_AFTER_MS = 1_000;
/**
 * Upper limit for a gap between two starts in the moving average. A longer gap
 * indicates a stall of the pool, such as a takeover of its targets, and not the
 * rate of the pool.
 */
const MAX_START_GAP_MS = 1_000;
/**
 * Weight of the newest gap in the moving average of the time between starts.
 */
const START_GAP_WEIGHT = 0.1;

/**
 * The admission queue of one pool in one daemon: weighted start-time fair
 * queueing across teams, with priorities inside a team.
 *
 * Free capacity goes first to queued teams that are not surging. A surging team
 * starts a request only while the team runs fewer requests than its reduced
 * share, or while more than the reserve is free. A surge therefore uses idle
 * capacity without delaying the other teams. If all teams surge, nothing is
 * held in reserve. A full queue rejects the newest request of the team with the
 * most queued requests per weight.
 */
export class FairQueue {
  readonly #settings: FairQueueSettings;
  #maxQueued: number;
  readonly #teams = new Map<string, TeamQueue>();
  readonly #startedMs = new Map<QueuedRequest, number>();
  /** Capacity from which the shares and the reserve are computed. */
  #capacity: number;
  /** Maximum number of running requests, regardless of the shares. */
  #maxRunning: number;
  #virtualTime = 0;
  #queued = 0;
  #running = 0;
  #lastStartMs: number | undefined;
  #meanStartGapMs = 0;

  /** `capacity` is the number of requests that may run concurrently. */
  constructor(settings: FairQueueSettings, capacity: number) {
    this.#settings = settings;
    this.#maxQueued = settings.maxQueued;
    this.#capacity = capacity;
    this.#maxRunning = capacity;
  }

  get queued(): number {
    return this.#queued;
  }

  get running(): number {
    return this.#running;
  }

  /**
   * Sets the capacity of the pool and this daemon's even share of the capacity.
   * The teams' shares and the reserve are computed from the even share, so that
   * surging teams leave capacity free in every daemon. The other teams may use
   * the full capacity.
   */
  setCapacity(capacity: { all: number; evenShare: number }): void {
    this.#capacity = capacity.evenShare;
    this.#maxRunning = capacity.all;
  }

  setMaxQueued(maxQueued: number): void {
    this.#maxQueued = maxQueued;
  }

  /**
   * Queues a request. Returns a rejection of the request itself or of the
   * queued request that was evicted for it.
   */
  offer(request: QueuedRequest, nowMs: number): QueueRejection | undefined {
    const team = this.#teamOf(request, nowMs);
    const share = this.#capacity * team.weight / this.#sumWeights(nowMs).all;
    team.demand.recordArrival(share, nowMs);
    const waitMs = this.#estimateWaitMs(team, nowMs);
    if (nowMs + waitMs >= request.deadlineMs) {
      return this.#reject(request, "deadline-unreachable", waitMs);
    }
    let rejection: QueueRejection | undefined;
    if (this.#queued >= this.#maxQueued) {
      const longest = this.#findLongestQueue(nowMs) ?? team;
      if (this.#queuedPerWeight(longest) <= this.#queuedPerWeight(team)) {
        return this.#reject(request, "queue-full", waitMs);
      }
      const evicted = longest.removeNewest();
      if (!evicted) return this.#reject(request, "queue-full", waitMs);
      this.#queued -= 1;
      const evictedWaitMs = this.#estimateWaitMs(longest, nowMs);
      rejection = this.#reject(evicted, "queue-full", evictedWaitMs);
    }
    if (team.queued === 0) {
      team.finishTag = Math.max(team.finishTag, this.#virtualTime);
    }
    team.add(request);
    this.#queued += 1;
    return rejection;
  }

  /** Returns the request to start next, or undefined if none may start. */
  peek(nowMs: number): QueuedRequest | undefined {
    return this.#nextTeam(nowMs)?.first();
  }

  /** Removes the request that `peek` returned from the queue and starts it. */
  start(request: QueuedRequest, nowMs: number): void {
    const team = this.#teams.get(request.team);
    if (!team?.remove(request)) return;
    this.#queued -= 1;
    this.#virtualTime = Math.max(this.#virtualTime, team.finishTag);
    team.finishTag += 1 / team.weight;
    team.running += 1;
    this.#running += 1;
    this.#startedMs.set(request, nowMs);
    this.#recordStart(nowMs);
  }

  /** Releases the capacity of a started request. */
  finish(request: QueuedRequest, nowMs: number): void {
    const team = this.#teams.get(request.team);
    const startedMs = this.#startedMs.get(request);
    if (!team || startedMs === undefined) return;
    this.#startedMs.delete(request);
    team.running -= 1;
    this.#running -= 1;
    team.demand.recordServiceTime(nowMs - startedMs);
  }

  /** Removes a queued request whose client has disconnected. */
  cancel(request: QueuedRequest): boolean {
    const wasQueued = this.#teams.get(request.team)?.remove(request) ?? false;
    if (wasQueued) this.#queued -= 1;
    return wasQueued;
  }

  /**
   * Removes the queued requests whose deadline has passed, and inactive teams.
   */
  expire(nowMs: number): QueueRejection[] {
    const rejections: QueueRejection[] = [];
    for (const [name, team] of this.#teams) {
      for (const request of team.removeExpired(nowMs)) {
        this.#queued -= 1;
        const waitMs = this.#estimateWaitMs(team, nowMs);
        rejections.push(this.#reject(request, "deadline-passed", waitMs));
      }
      if (!this.#isActive(team, nowMs)) this.#teams.delete(name);
    }
    return rejections;
  }

  #teamOf(request: QueuedRequest, nowMs: number): TeamQueue {
    let team = this.#teams.get(request.team);
    if (!team) {
      team = new TeamQueue(request.weight);
      this.#teams.set(request.team, team);
    }
    team.weight = request.weight;
    team.lastArrivalMs = nowMs;
    return team;
  }

  #nextTeam(nowMs: number): TeamQueue | undefined {
    if (this.#running >= this.#maxRunning) return undefined;
    const weights = this.#sumWeights(nowMs);
    let nextTeam: TeamQueue | undefined;
    for (const team of this.#teams.values()) {
      if (team.queued === 0 || !this.#mayStart(team, weights)) continue;
      if (!nextTeam || hasPrecedence(team, nextTeam)) nextTeam = team;
    }
    return nextTeam;
  }

  #mayStart(team: TeamQueue, weights: ActiveWeights): boolean {
    const maxRunning = team.first()?.maxTeamRunning ?? 0;
    if (team.running >= maxRunning) return false;
    if (!team.demand.isSurging) return true;
    const reserveRatio = this.#settings.reserveRatio * weights.notSurging /
      weights.all;
    const share = this.#capacity * team.weight / weights.all;
    const reducedShare = Math.max(1, share * (1 - reserveRatio));
    if (team.running + 1 <= reducedShare) return true;
    const free = this.#capacity - this.#running;
    return free > this.#reservedCapacity() * weights.notSurging / weights.all;
  }

  /**
   * The standard deviation of random arrivals is the square root of their
   * number.
   */
  #reservedCapacity(): number {
    return Math.max(
      this.#capacity * this.#settings.reserveRatio,
      this.#settings.reserveDeviations * Math.sqrt(this.#capacity),
    );
  }

  #sumWeights(nowMs: number): ActiveWeights {
    let all = 0;
    let notSurging = 0;
    for (const team of this.#teams.values()) {
      if (!this.#isActive(team, nowMs)) continue;
      all += team.weight;
      if (!team.demand.isSurging) notSurging += team.weight;
    }
    return { all, notSurging };
  }

  #isActive(team: TeamQueue, nowMs: number): boolean {
    if (team.queued > 0 || team.running > 0) return true;
    return nowMs - team.lastArrivalMs < this.#settings.activeWindowMs;
  }

  #findLongestQueue(nowMs: number): TeamQueue | undefined {
    let longest: TeamQueue | undefined;
    for (const team of this.#teams.values()) {
      if (team.queued === 0 || !this.#isActive(team, nowMs)) continue;
      if (
        !longest || this.#queuedPerWeight(team) > this.#queuedPerWeight(longest)
      ) {
        longest = team;
      }
    }
    return longest;
  }

  #queuedPerWeight(team: TeamQueue): number {
    return team.queued / team.weight;
  }

  /**
   * Estimates the queueing time of the team's next request from the rate of
   * starts.
   */
  #estimateWaitMs(team: TeamQueue, nowMs: number): number {
    if (team.queued === 0 || this.#meanStartGapMs === 0) return 0;
    let queuedWeight = 0;
    for (const other of this.#teams.values()) {
      if (other.queued > 0) queuedWeight += other.weight;
    }
    const gapMs = Math.max(
      this.#meanStartGapMs,
      (nowMs - (this.#lastStartMs ?? nowMs)) / this.#queued,
    );
    return team.queued * gapMs * queuedWeight / team.weight;
  }

  #recordStart(nowMs: number): void {
    // The gap between starts reflects the pool's rate only while requests are
    // queued.
    if (this.#lastStartMs !== undefined && this.#queued > 0) {
      const gapMs = Math.min(nowMs - this.#lastStartMs, MAX_START_GAP_MS);
      this.#meanStartGapMs = this.#meanStartGapMs === 0
        ? gapMs
        : this.#meanStartGapMs +
          START_GAP_WEIGHT * (gapMs - this.#meanStartGapMs);
    }
    this.#lastStartMs = nowMs;
  }

  #reject(
    request: QueuedRequest,
    reason: QueueRejection["reason"],
    waitMs: number,
  ): QueueRejection {
    const retryAfterMs = Math.min(
      this.#settings.maxRetryAfterMs,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
    );
    return { request, reason, retryAfterMs };
  }
}

/**
 * Teams that are not surging go first, then teams with a smaller finish tag.
 */
function hasPrecedence(team: TeamQueue, other: TeamQueue): boolean {
  if (team.demand.isSurging !== other.demand.isSurging) {
    return !team.demand.isSurging;
  }
  return team.finishTag < other.finishTag;
}
