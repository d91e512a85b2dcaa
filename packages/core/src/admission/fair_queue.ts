import { TeamQueue, type WaitingRequest } from "./team_queue.ts";

/** The limits of a `FairQueue`. */
export interface FairQueueSettings {
  /** Most requests that wait at a time. */
  readonly maxQueued: number;
  /**
   * Share of the places that surging teams leave free for the others, where
   * all the others keep within their shares.
   */
  readonly reserveRatio: number;
  /**
   * The reserve is at least this many standard deviations of the number of
   * requests in a full pool; it decides in small pools.
   */
  readonly reserveDeviations: number;
  /** A team counts as competing for this long after its last request. */
  readonly activeWindowMs: number;
  /** Longest time after which a refused caller is asked to come back. */
  readonly maxRetryAfterMs: number;
}

/** Settings of a queue but for its length, which the pool gives. */
export const DEFAULT_FAIR_QUEUE_SETTINGS: Omit<
  FairQueueSettings,
  "maxQueued"
> = {
  reserveRatio: 0.2,
  reserveDeviations: 2.5,
  activeWindowMs: 60_000,
  maxRetryAfterMs: 30_000,
};

/** A request that was not let in, with the time to come back. */
export interface QueueRefusal {
  readonly request: WaitingRequest;
  readonly reason: "queue-full" | "deadline-unreachable" | "deadline-passed";
  readonly retryAfterMs: number;
}

/** Sums of the weights of the teams that compete now. */
interface ActiveWeights {
  readonly all: number;
  /** Of the teams that are not surging. */
  readonly calm: number;
}

const MIN_RETRY_AFTER_MS = 1_000;
/**
 * A longer time between two starts shows a stall of the pool, such as a
 * take-over of its targets, and not its rate.
 */
const MAX_START_GAP_MS = 1_000;
/** Weight of the newest gap in the mean time between two starts. */
const START_GAP_WEIGHT = 0.1;

/**
 * The queue in front of one pool, in one daemon: start-time fair queueing over
 * teams by weight, priorities inside a team.
 *
 * The next place goes to a team that is not surging, if one waits. A surging
 * team starts a request only while it runs less than its reduced share, or
 * while more than the reserve is free. So a surge fills what is idle and does
 * not make the others wait. Where all teams surge, nothing is held in reserve.
 * A full queue refuses the newest request of the team that is furthest beyond
 * its share.
 */
export class FairQueue {
  readonly #settings: FairQueueSettings;
  #maxQueued: number;
  readonly #teams = new Map<string, TeamQueue>();
  readonly #startedMs = new Map<WaitingRequest, number>();
  /** Places for which shares and the reserve are reckoned. */
  #capacity: number;
  /** Most requests that run at a time, whatever the shares. */
  #maxRunning: number;
  #virtualTime = 0;
  #queued = 0;
  #running = 0;
  #lastStartMs: number | undefined;
  #meanStartGapMs = 0;

  /** `capacity` is the number of requests that may run at a time. */
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
   * Sets the places of the pool and this daemon's even part of them. Shares
   * and the reserve are reckoned from the part, so that surging teams leave
   * room in every daemon; the others may use whatever place they find.
   */
  setCapacity(places: { all: number; evenPart: number }): void {
    this.#capacity = places.evenPart;
    this.#maxRunning = places.all;
  }

  setMaxQueued(maxQueued: number): void {
    this.#maxQueued = maxQueued;
  }

  /**
   * Lets a request in, or returns who is refused: the request itself, or the
   * one that gave way to it.
   */
  offer(request: WaitingRequest, nowMs: number): QueueRefusal | undefined {
    const team = this.#teamOf(request, nowMs);
    const share = this.#capacity * team.weight / this.#sumWeights(nowMs).all;
    team.demand.noteArrival(share, nowMs);
    const waitMs = this.#estimateWaitMs(team, nowMs);
    if (nowMs + waitMs >= request.deadlineMs) {
      return this.#refuse(request, "deadline-unreachable", waitMs);
    }
    let refusal: QueueRefusal | undefined;
    if (this.#queued >= this.#maxQueued) {
      const fullest = this.#findFullest(nowMs) ?? team;
      if (this.#overuse(fullest) <= this.#overuse(team)) {
        return this.#refuse(request, "queue-full", waitMs);
      }
      const dropped = fullest.removeNewest();
      if (!dropped) return this.#refuse(request, "queue-full", waitMs);
      this.#queued -= 1;
      const droppedWaitMs = this.#estimateWaitMs(fullest, nowMs);
      refusal = this.#refuse(dropped, "queue-full", droppedWaitMs);
    }
    if (team.queued === 0) {
      team.finishTag = Math.max(team.finishTag, this.#virtualTime);
    }
    team.add(request);
    this.#queued += 1;
    return refusal;
  }

  /** The request that is to start next, or undefined. */
  peek(nowMs: number): WaitingRequest | undefined {
    return this.#nextTeam(nowMs)?.first();
  }

  /** Takes the request that `peek` returned out of the queue and starts it. */
  start(request: WaitingRequest, nowMs: number): void {
    const team = this.#teams.get(request.team);
    if (!team?.remove(request)) return;
    this.#queued -= 1;
    this.#virtualTime = Math.max(this.#virtualTime, team.finishTag);
    team.finishTag += 1 / team.weight;
    team.running += 1;
    this.#running += 1;
    this.#startedMs.set(request, nowMs);
    this.#noteStart(nowMs);
  }

  /** Gives the place of a started request back. */
  finish(request: WaitingRequest, nowMs: number): void {
    const team = this.#teams.get(request.team);
    const startedMs = this.#startedMs.get(request);
    if (!team || startedMs === undefined) return;
    this.#startedMs.delete(request);
    team.running -= 1;
    this.#running -= 1;
    team.demand.noteServiceTime(nowMs - startedMs);
  }

  /** Takes a request out whose caller has gone. */
  cancel(request: WaitingRequest): boolean {
    const wasQueued = this.#teams.get(request.team)?.remove(request) ?? false;
    if (wasQueued) this.#queued -= 1;
    return wasQueued;
  }

  /** Takes out the requests whose deadline has passed while they waited. */
  expire(nowMs: number): QueueRefusal[] {
    const refusals: QueueRefusal[] = [];
    for (const [name, team] of this.#teams) {
      for (const request of team.removeExpired(nowMs)) {
        this.#queued -= 1;
        const waitMs = this.#estimateWaitMs(team, nowMs);
        refusals.push(this.#refuse(request, "deadline-passed", waitMs));
      }
      if (!this.#isActive(team, nowMs)) this.#teams.delete(name);
    }
    return refusals;
  }

  #teamOf(request: WaitingRequest, nowMs: number): TeamQueue {
    let team = this.#teams.get(request.team);
    if (!team) {
      team = new TeamQueue(request.weight);
      this.#teams.set(request.team, team);
    }
    team.weight = request.weight;
    team.lastSeenMs = nowMs;
    return team;
  }

  #nextTeam(nowMs: number): TeamQueue | undefined {
    if (this.#running >= this.#maxRunning) return undefined;
    const weights = this.#sumWeights(nowMs);
    let next: TeamQueue | undefined;
    for (const team of this.#teams.values()) {
      if (team.queued === 0 || !this.#mayStart(team, weights)) continue;
      if (!next || goesBefore(team, next)) next = team;
    }
    return next;
  }

  #mayStart(team: TeamQueue, weights: ActiveWeights): boolean {
    const maxRunning = team.first()?.maxTeamRunning ?? 0;
    if (team.running >= maxRunning) return false;
    if (!team.demand.isSurging) return true;
    const reserveRatio = this.#settings.reserveRatio * weights.calm /
      weights.all;
    const share = this.#capacity * team.weight / weights.all;
    const reducedShare = Math.max(1, share * (1 - reserveRatio));
    if (team.running + 1 <= reducedShare) return true;
    const free = this.#capacity - this.#running;
    return free > this.#reservedPlaces() * weights.calm / weights.all;
  }

  /** Random arrivals vary with the square root of their number. */
  #reservedPlaces(): number {
    return Math.max(
      this.#capacity * this.#settings.reserveRatio,
      this.#settings.reserveDeviations * Math.sqrt(this.#capacity),
    );
  }

  #sumWeights(nowMs: number): ActiveWeights {
    let all = 0;
    let calm = 0;
    for (const team of this.#teams.values()) {
      if (!this.#isActive(team, nowMs)) continue;
      all += team.weight;
      if (!team.demand.isSurging) calm += team.weight;
    }
    return { all, calm };
  }

  #isActive(team: TeamQueue, nowMs: number): boolean {
    if (team.queued > 0 || team.running > 0) return true;
    return nowMs - team.lastSeenMs < this.#settings.activeWindowMs;
  }

  #findFullest(nowMs: number): TeamQueue | undefined {
    let fullest: TeamQueue | undefined;
    for (const team of this.#teams.values()) {
      if (team.queued === 0 || !this.#isActive(team, nowMs)) continue;
      if (!fullest || this.#overuse(team) > this.#overuse(fullest)) {
        fullest = team;
      }
    }
    return fullest;
  }

  #overuse(team: TeamQueue): number {
    return team.queued / team.weight;
  }

  /** Expected wait of the team's next request, from the rate of starts. */
  #estimateWaitMs(team: TeamQueue, nowMs: number): number {
    if (team.queued === 0 || this.#meanStartGapMs === 0) return 0;
    let waitingWeight = 0;
    for (const other of this.#teams.values()) {
      if (other.queued > 0) waitingWeight += other.weight;
    }
    const gapMs = Math.max(
      this.#meanStartGapMs,
      (nowMs - (this.#lastStartMs ?? nowMs)) / this.#queued,
    );
    return team.queued * gapMs * waitingWeight / team.weight;
  }

  #noteStart(nowMs: number): void {
    // Only gaps between starts out of a waiting queue show the pool's rate.
    if (this.#lastStartMs !== undefined && this.#queued > 0) {
      const gapMs = Math.min(nowMs - this.#lastStartMs, MAX_START_GAP_MS);
      this.#meanStartGapMs = this.#meanStartGapMs === 0
        ? gapMs
        : this.#meanStartGapMs +
          START_GAP_WEIGHT * (gapMs - this.#meanStartGapMs);
    }
    this.#lastStartMs = nowMs;
  }

  #refuse(
    request: WaitingRequest,
    reason: QueueRefusal["reason"],
    waitMs: number,
  ): QueueRefusal {
    const retryAfterMs = Math.min(
      this.#settings.maxRetryAfterMs,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
    );
    return { request, reason, retryAfterMs };
  }
}

/** Teams that do not surge go first; among equals the smaller tag. */
function goesBefore(team: TeamQueue, other: TeamQueue): boolean {
  if (team.demand.isSurging !== other.demand.isSurging) {
    return !team.demand.isSurging;
  }
  return team.finishTag < other.finishTag;
}
