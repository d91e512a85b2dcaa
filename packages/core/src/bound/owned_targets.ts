import {
  type DelayedResponse,
  PermitRequestQueue,
} from "./permit_request_queue.ts";
import {
  type CollectRequest,
  type CollectResponse,
  DEFAULT_START_WITHIN_MS,
  type PermitRequest,
  type PermitResponse,
} from "./permit.ts";
import {
  DEFAULT_POOL_MEAN_OPTIONS,
  type PoolLoadReport,
  PoolMeanEstimate,
  type PoolMeanEstimateOptions,
} from "./pool_mean_estimate.ts";
import {
  TargetAdmission,
  type TargetAdmissionOptions,
} from "./target_admission.ts";
import type { TargetReport } from "./target_ledger.ts";

/** Options of an `OwnedTargets`. */
export interface OwnedTargetsOptions extends TargetAdmissionOptions {
  /**
   * An owner drops its state when its timer did not tick for longer than this.
   * It must be below the time after which peers replace an unresponsive owner.
   */
  readonly pauseLimitMs: number;
  /**
   * Time for which a target that starts to serve is only reported, before the
   * first permit. All owners of the pool then count it in the mean load.
   */
  readonly announceMs: number;
  readonly poolMean: PoolMeanEstimateOptions;
}

/** Options for a fleet that replaces an owner after 1.5 s without messages. */
export const DEFAULT_OWNED_TARGETS_OPTIONS: OwnedTargetsOptions = {
  startWithinMs: DEFAULT_START_WITHIN_MS,
  maxRequestMs: 600_000,
  collectTimeoutMs: 300,
  pauseLimitMs: 800,
  announceMs: 600,
  poolMean: DEFAULT_POOL_MEAN_OPTIONS,
};

/** A pool's configured limits and its size in this daemon's view. */
export interface OwnedPool {
  readonly name: string;
  readonly loadFactor: number;
  readonly maxConcurrentPerTarget: number;
  /** Number of the pool's serving targets in this daemon's view. */
  readonly servingTargets: number;
}

interface PoolState {
  pool: OwnedPool;
  readonly mean: PoolMeanEstimate;
}

/** A target's previous owner in this daemon's view. */
export interface PreviousOwner {
  /** Newest epoch number that this daemon's `PermitHolder` received, or 0. */
  readonly epochNumber: number;
  /** Whether other daemons may still use its reports on the target. */
  readonly mayHaveActiveReports: boolean;
}

interface PastOwnership {
  readonly orphanRequests: number;
  readonly endedAtMs: number;
}

/** Retention of the orphan counts of previously owned targets, in ms. */
const PAST_OWNERSHIP_RETENTION_MS = 60_000;

interface OwnedTarget {
  readonly pool: string;
  readonly admission: TargetAdmission;
  /**
   * From this time on, no report of the previous owner is in use. Until then,
   * this daemon reports a load of 0 for the target.
   */
  confirmedFromMs: number;
  /** No permit is granted before this time. */
  grantsFromMs: number;
}

/** The targets that one daemon owns and the mean loads of their pools. */
export class OwnedTargets {
  readonly #daemon: string;
  readonly #options: OwnedTargetsOptions;
  readonly #pools = new Map<string, PoolState>();
  readonly #targets = new Map<string, OwnedTarget>();
  readonly #queue = new PermitRequestQueue();
  /** Orphan counts of targets that this daemon owned before. */
  readonly #pastOwnerships = new Map<string, PastOwnership>();
  #lastActivityAtMs: number | undefined;

  constructor(
    daemon: string,
    options: OwnedTargetsOptions = DEFAULT_OWNED_TARGETS_OPTIONS,
  ) {
    this.#daemon = daemon;
    this.#options = options;
  }

  /** Number of permit requests in the queue. */
  get queuedRequests(): number {
    return this.#queue.length;
  }

  /** Names of the targets that this daemon owns. */
  targetNames(): readonly string[] {
    return [...this.#targets.keys()];
  }

  /** Admission state of one owned target, for dumps and tests. */
  admissionOf(target: string): TargetAdmission | undefined {
    return this.#targets.get(target)?.admission;
  }

  /** Adds a pool or updates its limits and size. */
  setPool(pool: OwnedPool): void {
    const state = this.#pools.get(pool.name) ??
      { pool, mean: new PoolMeanEstimate(this.#options.poolMean) };
    state.pool = pool;
    state.mean.setPoolTargets(pool.servingTargets);
    this.#pools.set(pool.name, state);
  }

  /**
   * Starts or restarts the takeover of a target's ownership. Send the result to
   * all `holders`, this daemon included.
   */
  takeOwnership(
    target: string,
    pool: string,
    holders: Iterable<string>,
    nowMs: number,
    previous: PreviousOwner = { epochNumber: 0, mayHaveActiveReports: false },
  ): CollectRequest {
    this.recordActivity(nowMs);
    const owned = this.#targets.get(target) ?? {
      pool,
      admission: new TargetAdmission(target, this.#daemon, this.#options),
      confirmedFromMs: 0,
      grantsFromMs: 0,
    };
    const delayMs = previous.mayHaveActiveReports
      ? this.#options.poolMean.maxReportAgeMs
      : 0;
    owned.confirmedFromMs = nowMs + delayMs;
    this.#targets.set(target, owned);
    return owned.admission.beginTakeover(holders, nowMs, previous.epochNumber);
  }

  /**
   * Gives up the ownership of a target that another daemon owns now, or that is
   * gone. Returns the rejections of its queued permit requests.
   */
  giveUpOwnership(target: string): readonly DelayedResponse[] {
    const owned = this.#targets.get(target);
    this.#targets.delete(target);
    if (owned) {
      const nowMs = this.#lastActivityAtMs ?? 0;
      const orphanRequests = owned.admission.orphanRequests(nowMs);
      this.#pastOwnerships.set(target, { orphanRequests, endedAtMs: nowMs });
    }
    return this.#queue.rejectByTarget(target);
  }

  /**
   * Handles a collect request of another daemon. If this daemon owned the
   * target, it grants no further permits for the target. If its own view still
   * names this daemon as the owner, call `takeOwnership` again.
   */
  onCollectRequest(request: CollectRequest): void {
    this.admissionOf(request.target)?.onNewerEpoch(request.epoch);
  }

  /**
   * Delays the permits of a target that has just started to serve in a pool
   * with other targets. Call it after `takeOwnership`.
   */
  onTargetStarted(target: string, nowMs: number): void {
    const owned = this.#targets.get(target);
    if (owned) owned.grantsFromMs = nowMs + this.#options.announceMs;
  }

  /** The target's number of orphaned requests, reported to the next owner. */
  orphanRequests(target: string, nowMs: number): number {
    const admission = this.admissionOf(target);
    if (admission) return admission.orphanRequests(nowMs);
    const past = this.#pastOwnerships.get(target);
    if (!past) return 0;
    if (nowMs - past.endedAtMs <= PAST_OWNERSHIP_RETENTION_MS) {
      return past.orphanRequests;
    }
    this.#pastOwnerships.delete(target);
    return 0;
  }

  /** Whether permits for the target may be granted now. */
  isGranting(target: string, nowMs: number): boolean {
    const owned = this.#targets.get(target);
    if (!owned || nowMs < owned.grantsFromMs) return false;
    return owned.admission.isGranting;
  }

  /**
   * Owned targets that need `takeOwnership` because their state was dropped.
   * Wait a random time of a few hundred ms first: another daemon may consider
   * itself the owner, and its view may be newer.
   */
  droppedTargets(): readonly string[] {
    return [...this.#targets].filter(([, owned]) => owned.admission.isDropped)
      .map(([target]) => target);
  }

  /** Applies a holder's response. A newer epoch drops the target's state. */
  onCollectResponse(
    holder: string,
    response: CollectResponse,
    nowMs: number,
  ): void {
    this.admissionOf(response.target)?.onCollectResponse(
      holder,
      response,
      nowMs,
    );
  }

  /**
   * Detects pauses of the daemon. Call it at every tick of the daemon's timer
   * and before every decision. Returns false after a pause longer than the
   * limit: the state is dropped then, and every owned target needs
   * `takeOwnership`.
   */
  recordActivity(nowMs: number): boolean {
    const gapMs = nowMs - (this.#lastActivityAtMs ?? nowMs);
    this.#lastActivityAtMs = nowMs;
    if (gapMs <= this.#options.pauseLimitMs) return true;
    for (const owned of this.#targets.values()) owned.admission.dropState();
    return false;
  }

  /** Ends takeovers whose conditions are met. Call it regularly. */
  advance(nowMs: number): void {
    for (const owned of this.#targets.values()) owned.admission.advance(nowMs);
  }

  /**
   * Decides on a holder's permit request. Returns undefined if the request is
   * queued; `resolveQueuedRequests` returns its response later.
   */
  handleRequest(
    holder: string,
    request: PermitRequest,
    nowMs: number,
  ): PermitResponse | undefined {
    this.recordActivity(nowMs);
    return this.#queue.handleRequest(
      holder,
      request,
      nowMs,
      (...args) => this.#decide(...args, nowMs),
    );
  }

  /**
   * Returns the responses to queued requests that can be granted now or that
   * timed out. Call it after permits were returned and at every tick of the
   * daemon's timer.
   */
  resolveQueuedRequests(nowMs: number): readonly DelayedResponse[] {
    return this.#queue.resolveQueuedRequests(
      nowMs,
      (...args) => this.#decide(...args, nowMs),
    );
  }

  #decide(
    holder: string,
    request: PermitRequest,
    target: string,
    nowMs: number,
  ): PermitResponse {
    const { permitId } = request;
    const owned = this.#targets.get(target);
    if (!owned) {
      return { kind: "refused", permitId, reason: "not-keeper" };
    }
    if (nowMs < owned.grantsFromMs) {
      return { kind: "refused", permitId, reason: "not-ready" };
    }
    const limitRequests = this.limitRequests(owned.pool, nowMs);
    return owned.admission.decide(holder, request, limitRequests, nowMs);
  }

  /** Releases a permit. A daemon owns few targets, so this checks all. */
  release(holder: string, permitId: number, nowMs: number): void {
    // A request that the holder gave up must not be granted later.
    this.#queue.drop(holder, permitId);
    for (const owned of this.#targets.values()) {
      if (owned.admission.release(holder, permitId, nowMs)) return;
    }
  }

  /** Counts requests that run on permits of a previous owner. */
  adopt(
    holder: string,
    target: string,
    permitIds: readonly number[],
    nowMs: number,
  ): void {
    this.admissionOf(target)?.adopt(holder, permitIds, nowMs);
  }

  /**
   * Sets other owners' loads to 0 until their next reports. Call it when a
   * daemon is gone: the reports may count requests that ended with the daemon.
   */
  resetPoolLoads(): void {
    for (const state of this.#pools.values()) state.mean.resetLoads();
  }

  /** Handles a holder that is gone or whose connection was lost. */
  onHolderGone(holder: string, nowMs: number): void {
    this.#queue.dropHolder(holder);
    for (const owned of this.#targets.values()) {
      owned.admission.onHolderGone(holder, nowMs);
    }
  }

  /** Applies a target's report of its own load. */
  onTargetReport(
    target: string,
    report: TargetReport,
    nowMs: number,
    hasMessageSince?: (holder: string) => boolean,
  ): void {
    this.admissionOf(target)?.recordReport(report, nowMs, hasMessageSince);
  }

  /** Applies the report of another owner in a pool. */
  onPoolReport(
    owner: string,
    report: PoolLoadReport,
    receivedAtMs: number,
  ): void {
    if (owner === this.#daemon) return;
    this.#pools.get(report.pool)?.mean.recordReport(
      owner,
      report,
      receivedAtMs,
    );
  }

  /** Drops the reports of a daemon that is gone, restarted or unreachable. */
  dropOwnerReports(owner: string): void {
    for (const state of this.#pools.values()) state.mean.dropReport(owner);
  }

  /** Load of the owned targets of a pool, for the pool's other owners. */
  ownReport(pool: string, nowMs: number): PoolLoadReport {
    this.recordActivity(nowMs);
    const loadsRequests: number[] = [];
    let endedPerSecond = 0;
    for (const target of [...this.#targets.keys()].sort()) {
      const owned = this.#targets.get(target)!;
      if (owned.pool !== pool || owned.admission.isLeaving) continue;
      const isConfirmed = nowMs >= owned.confirmedFromMs;
      loadsRequests.push(
        isConfirmed ? owned.admission.confirmedRequests(nowMs) : 0,
      );
      endedPerSecond += owned.admission.endedPerSecond(nowMs);
    }
    return { pool, loadsRequests, endedPerSecond, measuredAtMs: nowMs };
  }

  /** Highest load that a target of the pool may have after an admission. */
  limitRequests(pool: string, nowMs: number): number {
    const state = this.#pools.get(pool);
    if (!state) return 0;
    state.mean.recordReport(this.#daemon, this.ownReport(pool, nowMs), nowMs);
    const hasRequestsForAnyTarget = this.#queue.hasRequestsForAnyTarget(
      nowMs,
      (target) => this.#targets.get(target)?.pool === pool,
    );
    const margin = hasRequestsForAnyTarget ? "line" : "cautious";
    return Math.min(
      state.pool.maxConcurrentPerTarget,
      state.mean.limitRequests(state.pool.loadFactor, nowMs, margin),
    );
  }
}
