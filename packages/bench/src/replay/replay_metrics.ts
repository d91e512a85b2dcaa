import { build, type Histogram } from "hdr-histogram-js";
import type { TracePhase, TraceRequest } from "../load/index.ts";
import type { World } from "./world.ts";

/** Histogram units: tenths of a ms for times, thousandths for ratios. */
const TENTHS_PER_MS = 10;
const THOUSANDTHS = 1_000;
/** Below this mean load, ratios to the mean are no measure of skew. */
const MIN_MEAN_LOAD_FOR_SKEW = 1;

/** Time to first token of one kind of request in one phase. */
export interface FirstTokenTimes {
  readonly phase: string;
  readonly requestKind: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** One point of a plot. */
export interface ReplaySample {
  readonly atMs: number;
  readonly meanLoadRequests: number;
  readonly maxLoadRequests: number;
  /** Reuse since the previous sample. */
  readonly reuse: number;
}

/** Counts and measurements of a replay. */
export interface ReplayResult {
  readonly requests: number;
  readonly completed: number;
  /** Requests cut by the loss of a target or daemon, or by a zone cut. */
  readonly failed: number;
  /** Requests rejected at their deadline, or because no daemon was ready. */
  readonly refused: number;
  readonly admissions: number;
  /** Admissions above the load bound. */
  readonly breaches: number;
  /** Admissions above the fixed limit of a target. */
  readonly overLimit: number;
  /** Largest excess over the load bound at one admission, in requests. */
  readonly worstExcessRequests: number;
  /** Share of admissions at another target than the preferred one. */
  readonly spilledRatio: number;
  /** Share of requests that the first attempt did not place. */
  readonly waitedRatio: number;
  /** Cached share of the prefix tokens of all turns after the first. */
  readonly reuse: number;
  readonly maxLoadOverMean: number;
  readonly p99LoadOverMean: number;
  readonly controlBytesPerSecondMean: number;
  readonly controlBytesPerSecondMax: number;
  readonly firstToken: readonly FirstTokenTimes[];
  readonly samples: readonly ReplaySample[];
}

const SAMPLES_PER_PLOT = 150;

/** Counts requests and samples loads during a replay. */
export class ReplayMetrics {
  readonly #world: World;
  readonly #phases: readonly TracePhase[];
  readonly #kindNames: readonly string[];
  readonly #firstToken = new Map<string, Histogram>();
  readonly #skew = build({ numberOfSignificantValueDigits: 3 });
  readonly #samples: ReplaySample[] = [];
  readonly #samplePeriodMs: number;
  #prefixTokens = 0;
  #cachedTokens = 0;
  #samplePrefixTokens = 0;
  #sampleCachedTokens = 0;
  #maxLoadOverMean = 0;
  requests = 0;
  completed = 0;
  failed = 0;
  refused = 0;
  admissions = 0;
  breaches = 0;
  overLimit = 0;
  worstExcessRequests = 0;
  spilled = 0;
  waited = 0;

  constructor(
    world: World,
    phases: readonly TracePhase[],
    kindNames: readonly string[],
  ) {
    this.#world = world;
    this.#phases = phases;
    this.#kindNames = kindNames;
    this.#samplePeriodMs = phases.at(-1)!.endMs / SAMPLES_PER_PLOT;
  }

  /** Starts periodic sampling: the skew every second, the plots less often. */
  start(): void {
    this.#sampleSkew();
    this.#samplePlot();
  }

  recordCachedTokens(request: TraceRequest, cachedTokens: number): void {
    if (request.turn === 1) return;
    this.#prefixTokens += request.prefixTokens;
    this.#cachedTokens += cachedTokens;
    this.#samplePrefixTokens += request.prefixTokens;
    this.#sampleCachedTokens += cachedTokens;
  }

  recordFirstToken(request: TraceRequest, durationMs: number): void {
    const phase = this.#phases.find((entry) => request.atMs < entry.endMs);
    const key = `${phase?.name}/${this.#kindNames[request.requestKind]}`;
    const histogram = this.#firstToken.get(key) ?? build();
    this.#firstToken.set(key, histogram);
    histogram.recordValue(Math.round(durationMs * TENTHS_PER_MS));
  }

  /**
   * Records an admission. `loadRequests` includes the admitted request;
   * `allowedRequests` is the load bound.
   */
  recordAdmission(loadRequests: number, allowedRequests: number): void {
    this.admissions += 1;
    if (loadRequests > this.#world.options.maxConcurrentPerTarget) {
      this.overLimit += 1;
    }
    const excessRequests = loadRequests - allowedRequests;
    if (excessRequests <= 0) return;
    this.breaches += 1;
    this.worstExcessRequests = Math.max(
      this.worstExcessRequests,
      excessRequests,
    );
  }

  result(controlBytes: readonly number[]): ReplayResult {
    const seconds = this.#world.heap.nowMs / 1_000;
    const rates = controlBytes.map((bytes) => bytes / seconds);
    return {
      requests: this.requests,
      completed: this.completed,
      failed: this.failed,
      refused: this.refused,
      admissions: this.admissions,
      breaches: this.breaches,
      overLimit: this.overLimit,
      worstExcessRequests: this.worstExcessRequests,
      spilledRatio: this.spilled / Math.max(1, this.admissions),
      waitedRatio: this.waited / Math.max(1, this.requests),
      reuse: this.#cachedTokens / Math.max(1, this.#prefixTokens),
      maxLoadOverMean: this.#maxLoadOverMean,
      p99LoadOverMean: this.#skew.getValueAtPercentile(99) / THOUSANDTHS,
      controlBytesPerSecondMean: rates.reduce((sum, rate) => sum + rate, 0) /
        Math.max(1, rates.length),
      controlBytesPerSecondMax: Math.max(0, ...rates),
      firstToken: this.#firstTokenTimes(),
      samples: this.#samples,
    };
  }

  #firstTokenTimes(): FirstTokenTimes[] {
    return [...this.#firstToken].map(([key, histogram]) => {
      const [phase, requestKind] = key.split("/");
      const percentileMs = (percentile: number) =>
        histogram.getValueAtPercentile(percentile) / TENTHS_PER_MS;
      return {
        phase: phase!,
        requestKind: requestKind!,
        count: histogram.totalCount,
        p50Ms: percentileMs(50),
        p95Ms: percentileMs(95),
        p99Ms: percentileMs(99),
      };
    });
  }

  #sampleSkew(): void {
    this.#world.heap.after(1_000, () => this.#sampleSkew());
    const meanRequests = this.#meanRequests();
    if (meanRequests < MIN_MEAN_LOAD_FOR_SKEW) return;
    for (const engine of this.#world.engines()) {
      if (!engine.isInPool) continue;
      const ratio = engine.loadRequests / meanRequests;
      this.#maxLoadOverMean = Math.max(this.#maxLoadOverMean, ratio);
      this.#skew.recordValue(Math.round(ratio * THOUSANDTHS));
    }
  }

  #samplePlot(): void {
    this.#world.heap.after(this.#samplePeriodMs, () => this.#samplePlot());
    const pool = this.#world.engines().filter((engine) => engine.isInPool);
    this.#samples.push({
      atMs: this.#world.heap.nowMs,
      meanLoadRequests: this.#meanRequests(),
      maxLoadRequests: pool.reduce(
        (max, engine) => Math.max(max, engine.loadRequests),
        0,
      ),
      reuse: this.#sampleCachedTokens / Math.max(1, this.#samplePrefixTokens),
    });
    this.#samplePrefixTokens = 0;
    this.#sampleCachedTokens = 0;
  }

  #meanRequests(): number {
    return this.#world.poolLoadRequests() / Math.max(1, this.#world.poolSize());
  }
}
