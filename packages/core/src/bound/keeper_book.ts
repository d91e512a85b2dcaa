import { WarmingChats } from "../placement/index.ts";
import type {
  CollectAnswer,
  CollectRequest,
  PermitAnswer,
  PermitAsk,
} from "./permit.ts";
import {
  DEFAULT_POOL_MEAN_OPTIONS,
  PoolMeanEstimate,
  type PoolMeanEstimateOptions,
} from "./pool_mean_estimate.ts";
import { TargetKeeper, type TargetKeeperOptions } from "./target_keeper.ts";
import type { TargetReport } from "./target_ledger.ts";

/** Settings of a `KeeperBook`. */
export interface KeeperBookOptions extends TargetKeeperOptions {
  /**
   * A keeper whose own timer was silent for longer drops its state. It must be
   * below the time after which peers replace a silent keeper.
   */
  readonly pauseLimitMs: number;
  readonly poolMean: PoolMeanEstimateOptions;
}

/** Settings for peers that replace a keeper after 1.5 s of silence. */
export const DEFAULT_KEEPER_BOOK_OPTIONS: KeeperBookOptions = {
  startWithinMs: 400,
  maxRequestMs: 600_000,
  collectTimeoutMs: 300,
  pauseLimitMs: 800,
  poolMean: DEFAULT_POOL_MEAN_OPTIONS,
};

/** The rules and the size of a pool, by configuration and view. */
export interface KeptPool {
  readonly name: string;
  readonly loadFactor: number;
  readonly maxConcurrentPerTarget: number;
  /** Serving targets of the whole pool in this daemon's view. */
  readonly servingTargets: number;
}

/** Load of one kept target, for the other keepers of its pool. */
export interface KeptTargetReport {
  readonly pool: string;
  readonly target: string;
  readonly loadRequests: number;
  readonly endedPerSecond: number;
  readonly epochNumber: number;
}

interface PoolState {
  pool: KeptPool;
  readonly mean: PoolMeanEstimate;
}

interface KeptTarget {
  readonly pool: string;
  readonly keeper: TargetKeeper;
  warmingChats: WarmingChats | undefined;
}

/** Everything that one daemon keeps: its targets and the means of their pools. */
export class KeeperBook {
  readonly #daemon: string;
  readonly #options: KeeperBookOptions;
  readonly #pools = new Map<string, PoolState>();
  readonly #targets = new Map<string, KeptTarget>();
  #aliveAtMs: number | undefined;

  constructor(
    daemon: string,
    options: KeeperBookOptions = DEFAULT_KEEPER_BOOK_OPTIONS,
  ) {
    this.#daemon = daemon;
    this.#options = options;
  }

  /** Names of the targets that this daemon keeps. */
  keptTargets(): readonly string[] {
    return [...this.#targets.keys()];
  }

  /** The keeper of one target, for dumps and tests. */
  keeperOf(target: string): TargetKeeper | undefined {
    return this.#targets.get(target)?.keeper;
  }

  /** Adds a pool or replaces what is known of it. */
  setPool(pool: KeptPool): void {
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
  beginKeeping(
    target: string,
    pool: string,
    holders: Iterable<string>,
    nowMs: number,
  ): CollectRequest {
    this.noteAlive(nowMs);
    const kept = this.#targets.get(target) ?? {
      pool,
      keeper: new TargetKeeper(target, this.#daemon, this.#options),
      warmingChats: undefined,
    };
    this.#targets.set(target, kept);
    return kept.keeper.beginTakeOver(holders, nowMs);
  }

  /** Stops keeping a target that another daemon keeps now, or that is gone. */
  stopKeeping(target: string): void {
    const kept = this.#targets.get(target);
    if (!kept) return;
    this.#targets.delete(target);
    this.#pools.get(kept.pool)?.mean.forget(target);
  }

  /** Notes that the target started with an empty cache beside others. */
  noteEmptyCache(target: string, nowMs: number): void {
    const kept = this.#targets.get(target);
    if (kept) kept.warmingChats = new WarmingChats(nowMs);
  }

  /** Takes a holder's answer; see `TargetKeeper.noteCollectAnswer`. */
  noteCollectAnswer(
    holder: string,
    answer: CollectAnswer,
    holders: Iterable<string>,
    nowMs: number,
  ): CollectRequest | undefined {
    const keeper = this.keeperOf(answer.target);
    return keeper?.noteCollectAnswer(holder, answer, holders, nowMs);
  }

  /**
   * Call it at every turn of the daemon's timer and before every decision. It
   * returns false when the daemon was paused for longer than its limit: its
   * state is dropped then, and every kept target needs `beginKeeping`.
   */
  noteAlive(nowMs: number): boolean {
    const silentMs = nowMs - (this.#aliveAtMs ?? nowMs);
    this.#aliveAtMs = nowMs;
    if (silentMs <= this.#options.pauseLimitMs) return true;
    for (const kept of this.#targets.values()) kept.keeper.dropState();
    return false;
  }

  /** Ends take-overs that wait for their time. Call it regularly. */
  advance(nowMs: number): void {
    for (const kept of this.#targets.values()) kept.keeper.advance(nowMs);
  }

  /** Answers a holder's ask for a permit. */
  answer(holder: string, ask: PermitAsk, nowMs: number): PermitAnswer {
    this.noteAlive(nowMs);
    const { askId, returningChatHash } = ask;
    const kept = this.#targets.get(ask.target);
    if (!kept) return { kind: "refused", askId, reason: "not-keeper" };
    const warming = kept.warmingChats;
    if (
      returningChatHash !== undefined &&
      warming?.shouldPassOn(returningChatHash, nowMs)
    ) return { kind: "refused", askId, reason: "pass-on" };
    const limitRequests = this.limitRequests(kept.pool, nowMs);
    return kept.keeper.answer(holder, ask, limitRequests, nowMs);
  }

  /** Notes which chat runs on a target, where it matters. */
  noteRun(target: string, chatHash: number, nowMs: number): void {
    this.#targets.get(target)?.warmingChats?.noteRun(chatHash, nowMs);
  }

  /** Takes a permit back. */
  release(
    holder: string,
    target: string,
    askId: number,
    nowMs: number,
  ): void {
    this.keeperOf(target)?.release(holder, askId, nowMs);
  }

  /** Counts requests that run on permits of an older keeper. */
  adopt(
    holder: string,
    target: string,
    askIds: readonly number[],
    nowMs: number,
  ): void {
    this.keeperOf(target)?.adopt(holder, askIds, nowMs);
  }

  /** A daemon is gone, or the connection to it was lost. */
  noteHolderGone(holder: string, nowMs: number): void {
    for (const kept of this.#targets.values()) {
      kept.keeper.noteHolderGone(holder, nowMs);
    }
  }

  /** Takes a target's own count. */
  noteTargetReport(target: string, report: TargetReport, nowMs: number): void {
    this.keeperOf(target)?.noteReport(report, nowMs);
  }

  /** Takes the load that another keeper reports for one of its targets. */
  notePoolReport(report: KeptTargetReport, receivedAtMs: number): void {
    if (this.#targets.has(report.target)) return;
    this.#pools.get(report.pool)?.mean.noteReport(
      report.target,
      { ...report, targets: 1 },
      receivedAtMs,
    );
  }

  /** Drops what was reported of a target that is gone or cut off. */
  forgetPoolReport(pool: string, target: string): void {
    this.#pools.get(pool)?.mean.forget(target);
  }

  /** Loads of the kept targets, to send to the other keepers of their pools. */
  ownReports(nowMs: number): readonly KeptTargetReport[] {
    const reports: KeptTargetReport[] = [];
    for (const [target, kept] of this.#targets) {
      reports.push({
        pool: kept.pool,
        target,
        loadRequests: kept.keeper.vouchedRequests(),
        endedPerSecond: kept.keeper.endedPerSecond(nowMs),
        epochNumber: kept.keeper.epoch.number,
      });
    }
    return reports;
  }

  /** The most load that a target of the pool may have at an admission. */
  limitRequests(pool: string, nowMs: number): number {
    const state = this.#pools.get(pool);
    if (!state) return 0;
    for (const report of this.ownReports(nowMs)) {
      if (report.pool !== pool) continue;
      state.mean.noteReport(report.target, { ...report, targets: 1 }, nowMs);
    }
    return Math.min(
      state.pool.maxConcurrentPerTarget,
      state.mean.limitRequests(state.pool.loadFactor, nowMs),
    );
  }
}
