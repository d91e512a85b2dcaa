import { type LateAnswer, PermitRequestQueue } from "./permit_request_queue.ts";
import {
  type CollectAnswer,
  type CollectRequest,
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

/** Settings of a `OwnedTargets`. */
export interface OwnedTargetsOptions extends TargetAdmissionOptions {
  /**
   * A keeper whose own timer was silent for longer drops its state. It must be
   * below the time after which peers replace a silent keeper.
   */
  readonly pauseLimitMs: number;
  /**
   * A target that starts to serve is reported for this time before the first
   * permit, so that every keeper of the pool counts it in the mean.
   */
  readonly announceMs: number;
  readonly poolMean: PoolMeanEstimateOptions;
}

/** Settings for peers that replace a keeper after 1.5 s of silence. */
export const DEFAULT_OWNED_TARGETS_OPTIONS: OwnedTargetsOptions = {
  startWithinMs: DEFAULT_START_WITHIN_MS,
  maxRequestMs: 600_000,
  collectTimeoutMs: 300,
  pauseLimitMs: 800,
  announceMs: 600,
  poolMean: DEFAULT_POOL_MEAN_OPTIONS,
};

/** The rules and the size of a pool, by configuration and view. */
export interface OwnedPool {
  readonly name: string;
  readonly loadFactor: number;
  readonly maxConcurrentPerTarget: number;
  /** Serving targets of the whole pool in this daemon's view. */
  readonly servingTargets: number;
}

interface PoolState {
  pool: OwnedPool;
  readonly mean: PoolMeanEstimate;
}

/** What is known of the keeper that a target had before. */
export interface PreviousOwner {
  /** The newest epoch that this daemon's `PermitHolder` met, or 0. */
  readonly epochNumber: number;
  /** Whether reports of it that count the target may be in force somewhere. */
  readonly mayReport: boolean;
}

interface FormerOrphans {
  readonly orphanRequests: number;
  readonly stoppedAtMs: number;
}

/** Time for which a successor may ask what a former keeper knew, in ms. */
const FORMER_ORPHANS_MS = 60_000;

interface OwnedTarget {
  readonly pool: string;
  readonly owner: TargetAdmission;
  /** Reports of a former keeper no longer count from here on. */
  vouchedFromMs: number;
  /** Nothing is granted before. */
  grantsFromMs: number;
  /** In order of arrival. */
}

/** Everything that one daemon keeps: its targets and the means of their pools. */
export class OwnedTargets {
  readonly #daemon: string;
  readonly #options: OwnedTargetsOptions;
  readonly #pools = new Map<string, PoolState>();
  readonly #targets = new Map<string, OwnedTarget>();
  readonly #queue = new PermitRequestQueue();
  /** What targets that are no longer kept had without a holder. */
  readonly #formerOrphans = new Map<string, FormerOrphans>();
  #aliveAtMs: number | undefined;

  constructor(
    daemon: string,
    options: OwnedTargetsOptions = DEFAULT_OWNED_TARGETS_OPTIONS,
  ) {
    this.#daemon = daemon;
    this.#options = options;
  }

  /** Number of asks that wait for a place. */
  get waitingAsks(): number {
    return this.#queue.length;
  }

  /** Names of the targets that this daemon keeps. */
  ownedTargets(): readonly string[] {
    return [...this.#targets.keys()];
  }

  /** The keeper of one target, for dumps and tests. */
  admissionOf(target: string): TargetAdmission | undefined {
    return this.#targets.get(target)?.owner;
  }

  /** Adds a pool or replaces what is known of it. */
  setPool(pool: OwnedPool): void {
    const state = this.#pools.get(pool.name) ??
      { pool, mean: new PoolMeanEstimate(this.#options.poolMean) };
    state.pool = pool;
    state.mean.setPoolTargets(pool.servingTargets);
    this.#pools.set(pool.name, state);
  }

  /**
   * Starts to keep a target, or starts its take-over anew. The result is to be
   * sent to all `holders`, this daemon included.
   */
  takeOwnership(
    target: string,
    pool: string,
    holders: Iterable<string>,
    nowMs: number,
    former: PreviousOwner = { epochNumber: 0, mayReport: false },
  ): CollectRequest {
    this.noteAlive(nowMs);
    const owned = this.#targets.get(target) ?? {
      pool,
      owner: new TargetAdmission(target, this.#daemon, this.#options),
      vouchedFromMs: 0,
      grantsFromMs: 0,
    };
    const delayMs = former.mayReport
      ? this.#options.poolMean.maxReportAgeMs
      : 0;
    owned.vouchedFromMs = nowMs + delayMs;
    this.#targets.set(target, owned);
    return owned.owner.beginTakeover(holders, nowMs, former.epochNumber);
  }

  /**
   * Stops keeping a target that another daemon keeps now, or that is gone. The
   * result answers the asks that wait.
   */
  giveUpOwnership(target: string): readonly LateAnswer[] {
    const owned = this.#targets.get(target);
    this.#targets.delete(target);
    if (owned) {
      const nowMs = this.#aliveAtMs ?? 0;
      const orphanRequests = owned.owner.orphanRequests(nowMs);
      this.#formerOrphans.set(target, { orphanRequests, stoppedAtMs: nowMs });
    }
    return this.#queue.refuseTarget(target);
  }

  /**
   * Notes that another daemon collects the permits of a target that this one
   * keeps: nothing is granted for it any longer. If this daemon is still its
   * keeper by its own view, it has to call `takeOwnership`.
   */
  noteCollectRequest(request: CollectRequest): void {
    this.admissionOf(request.target)?.noteNewerEpoch(request.epoch);
  }

  /**
   * Notes, after `takeOwnership`, that the target has just started to serve
   * beside others.
   */
  noteStarted(target: string, nowMs: number): void {
    const owned = this.#targets.get(target);
    if (owned) owned.grantsFromMs = nowMs + this.#options.announceMs;
  }

  /** What a successor is told of the target's load without a holder. */
  orphanRequests(target: string, nowMs: number): number {
    const owner = this.admissionOf(target);
    if (owner) return owner.orphanRequests(nowMs);
    const former = this.#formerOrphans.get(target);
    if (!former) return 0;
    if (nowMs - former.stoppedAtMs <= FORMER_ORPHANS_MS) {
      return former.orphanRequests;
    }
    this.#formerOrphans.delete(target);
    return 0;
  }

  /** Whether permits for the target may be granted now. */
  isGranting(target: string, nowMs: number): boolean {
    const owned = this.#targets.get(target);
    if (!owned || nowMs < owned.grantsFromMs) return false;
    return owned.owner.isGranting;
  }

  /**
   * Kept targets that need `takeOwnership` because their state was dropped. Wait
   * a random time of some hundred ms before: another daemon may hold that it
   * keeps the target, and its view may be the newer one.
   */
  droppedTargets(): readonly string[] {
    return [...this.#targets].filter(([, owned]) => owned.owner.isDropped)
      .map(([target]) => target);
  }

  /** Takes a holder's answer; see `TargetAdmission.noteCollectAnswer`. */
  noteCollectAnswer(
    holder: string,
    answer: CollectAnswer,
    nowMs: number,
  ): void {
    this.admissionOf(answer.target)?.noteCollectAnswer(holder, answer, nowMs);
  }

  /**
   * Call it at every turn of the daemon's timer and before every decision. It
   * returns false when the daemon was paused for longer than its limit: its
   * state is dropped then, and every kept target needs `takeOwnership`.
   */
  noteAlive(nowMs: number): boolean {
    const silentMs = nowMs - (this.#aliveAtMs ?? nowMs);
    this.#aliveAtMs = nowMs;
    if (silentMs <= this.#options.pauseLimitMs) return true;
    for (const owned of this.#targets.values()) owned.owner.dropState();
    return false;
  }

  /** Ends take-overs that wait for their time. Call it regularly. */
  advance(nowMs: number): void {
    for (const owned of this.#targets.values()) owned.owner.advance(nowMs);
  }

  /**
   * Answers a holder's ask for a permit. No answer means that the ask waits for
   * a place: `takeLateAnswers` has its answer later.
   */
  answer(
    holder: string,
    ask: PermitRequest,
    nowMs: number,
  ): PermitResponse | undefined {
    this.noteAlive(nowMs);
    return this.#queue.answer(
      holder,
      ask,
      nowMs,
      (...parts) => this.#decide(...parts, nowMs),
    );
  }

  /**
   * Answers to asks that waited and have a place now, or whose wait is over.
   * Call it after permits came back and at every turn of the daemon's timer.
   */
  takeLateAnswers(nowMs: number): readonly LateAnswer[] {
    return this.#queue.takeLateAnswers(
      nowMs,
      (...parts) => this.#decide(...parts, nowMs),
    );
  }

  #decide(
    holder: string,
    ask: PermitRequest,
    target: string,
    nowMs: number,
  ): PermitResponse {
    const { permitId: permitId } = ask;
    const owned = this.#targets.get(target);
    if (!owned) {
      return { kind: "refused", permitId: permitId, reason: "not-keeper" };
    }
    if (nowMs < owned.grantsFromMs) {
      return { kind: "refused", permitId: permitId, reason: "not-ready" };
    }
    const limitRequests = this.limitRequests(owned.pool, nowMs);
    return owned.owner.answer(holder, ask, limitRequests, nowMs);
  }

  /** Takes a permit back. A daemon keeps few targets, so all are tried. */
  release(holder: string, permitId: number, nowMs: number): void {
    // An ask that was given up must not be granted later.
    this.#queue.drop(holder, permitId);
    for (const owned of this.#targets.values()) {
      if (owned.owner.release(holder, permitId, nowMs)) return;
    }
  }

  /** Counts requests that run on permits of an older keeper. */
  adopt(
    holder: string,
    target: string,
    permitIds: readonly number[],
    nowMs: number,
  ): void {
    this.admissionOf(target)?.adopt(holder, permitIds, nowMs);
  }

  /**
   * A daemon is gone with its requests: what other keepers reported before may
   * count them, so it is forgotten until they report anew.
   */
  forgetPoolLoads(): void {
    for (const state of this.#pools.values()) state.mean.forgetLoads();
  }

  /** A daemon is gone, or the connection to it was lost. */
  noteHolderGone(holder: string, nowMs: number): void {
    this.#queue.dropHolder(holder);
    for (const owned of this.#targets.values()) {
      owned.owner.noteHolderGone(holder, nowMs);
    }
  }

  /** Takes a target's own count. */
  noteTargetReport(
    target: string,
    report: TargetReport,
    nowMs: number,
    isHeard?: (holder: string) => boolean,
  ): void {
    this.admissionOf(target)?.noteReport(report, nowMs, isHeard);
  }

  /** Takes the report of another keeper of a pool. */
  notePoolReport(
    owner: string,
    report: PoolLoadReport,
    receivedAtMs: number,
  ): void {
    if (owner === this.#daemon) return;
    this.#pools.get(report.pool)?.mean.noteReport(owner, report, receivedAtMs);
  }

  /** Drops the reports of a daemon that is gone, restarted or cut off. */
  forgetOwner(owner: string): void {
    for (const state of this.#pools.values()) state.mean.forget(owner);
  }

  /** Load of the kept targets of a pool, for the pool's other keepers. */
  ownReport(pool: string, nowMs: number): PoolLoadReport {
    this.noteAlive(nowMs);
    const loadsRequests: number[] = [];
    let endedPerSecond = 0;
    for (const target of [...this.#targets.keys()].sort()) {
      const owned = this.#targets.get(target)!;
      if (owned.pool !== pool || owned.owner.isLeaving) continue;
      const isVouched = nowMs >= owned.vouchedFromMs;
      loadsRequests.push(isVouched ? owned.owner.vouchedRequests(nowMs) : 0);
      endedPerSecond += owned.owner.endedPerSecond(nowMs);
    }
    return { pool, loadsRequests, endedPerSecond, measuredAtMs: nowMs };
  }

  /** The most load that a target of the pool may have at an admission. */
  limitRequests(pool: string, nowMs: number): number {
    const state = this.#pools.get(pool);
    if (!state) return 0;
    state.mean.noteReport(this.#daemon, this.ownReport(pool, nowMs), nowMs);
    const hasLine = this.#queue.hasLine(
      nowMs,
      (target) => this.#targets.get(target)?.pool === pool,
    );
    const margin = hasLine ? "line" : "cautious";
    return Math.min(
      state.pool.maxConcurrentPerTarget,
      state.mean.limitRequests(state.pool.loadFactor, nowMs, margin),
    );
  }
}
