import { describe, expect, it } from "@jest/globals";
import { mixHash32 } from "../../hash/index.ts";
import { NO_PROMPT } from "../prompts/prompt.ts";
import {
  type InFlightAttempt,
  TargetRecord,
} from "../targets/target_record.ts";
import { CacheEstimates } from "./cache_estimates.ts";
import { type Candidate, chooseTarget } from "./choose_target.ts";

const DAEMONS = 138;
const TARGETS = 3;
const SLOTS = 6;
const QUEUE = 24;
const WORK_MS = 43;
const REQUESTS_PER_MS = 0.192;
const SPEED_PERIOD_MS = 150;
const EPISODE_MS = 2_000;
const WARMUP_MS = 5_000;
const END_MS = 35_000;
/** Time in which arrivals at a target are counted as one burst. */
const BURST_MS = 50;

/** What the targets report: no load, the load, or the load and the slowdown. */
type Report = "nothing" | "load" | "slowdown";

interface Result {
  /** Arrivals that a full target rejected. */
  readonly rejections: number;
  /** Mean share of the busiest target in the arrivals of a burst. */
  readonly busiestShare: number;
  readonly p99Ms: number;
}

/** Numbers from 0 to 1, the same in each run with the seed. */
function createRandom(seed: number): () => number {
  let count = 0;
  return () => mixHash32(seed, ++count) / 2 ** 32;
}

/** A target whose machine is shared: work takes longer at some times. */
class ContendedTarget {
  readonly #startedAtMs: number[] = [];
  readonly #waiting: ((endAtMs: number) => void)[] = [];
  slowdown = 1;

  get running(): number {
    return this.#startedAtMs.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get isFull(): boolean {
    return this.waiting >= QUEUE;
  }

  accept(nowMs: number, onStarted: (endAtMs: number) => void): void {
    if (this.running < SLOTS) this.#execute(nowMs, onStarted);
    else this.#waiting.push(onStarted);
  }

  finish(nowMs: number): void {
    this.#startedAtMs.pop();
    const next = this.#waiting.shift();
    if (next) this.#execute(nowMs, next);
  }

  #execute(nowMs: number, onStarted: (endAtMs: number) => void): void {
    this.#startedAtMs.push(nowMs);
    onStarted(nowMs + WORK_MS * this.slowdown);
  }
}

/** How slow each target is, redrawn every `SPEED_PERIOD_MS`. */
type Speeds = (random: () => number, target: number, nowMs: number) => number;

/** Every target is slow a fifth of the time. */
const changingSpeeds: Speeds = (random) => random() < 0.2 ? 2.5 : 1;

/** One target after the other is slow for two seconds. */
const slowEpisodes: Speeds = (random, target, nowMs) =>
  Math.floor(nowMs / EPISODE_MS) % TARGETS === target ? 5 + 2 * random() : 1;

function createCandidates(): Candidate[] {
  return Array.from({ length: TARGETS }, (_, index) => ({
    target: {
      id: `t${index}`,
      incarnation: `t${index}@1`,
      bornAtMs: 1,
      sequence: 1,
      service: "desk",
      host: "127.0.0.1",
      port: 1,
      availabilityZone: "a",
      slots: SLOTS,
      isLeaving: false,
      coldLeftMs: 0,
    },
    record: new TargetRecord(),
    incarnationHash: mixHash32(99, index),
  }));
}

function choose(
  daemon: number,
  candidates: readonly Candidate[],
  requestHash: number,
  attemptedIncarnations: ReadonlySet<string>,
  nowMs: number,
) {
  return chooseTarget({
    prompt: NO_PROMPT,
    targetLatencyMs: 400,
    attemptedIncarnations,
    candidates,
    departed: [],
    engine: undefined,
    cacheEstimates: new CacheEstimates(),
    requestHash,
    nowMs,
  }, {
    availabilityZone: "a",
    daemonHash: mixHash32(7, daemon),
    maxLoadFactor: 2,
    promptTokensPerMs: 50,
  });
}

function simulate(report: Report, speeds: Speeds, seed: number): Result {
  const random = createRandom(seed);
  const targets = Array.from({ length: TARGETS }, () => new ContendedTarget());
  const daemons = Array.from({ length: DAEMONS }, createCandidates);
  const ends = new Map<number, (() => void)[]>();
  const tookMs: number[] = [];
  let rejections = 0;
  let requests = 0;
  const bursts: number[][] = [];
  let nowMs = 0;
  const send = (
    daemon: number,
    sentAtMs: number,
    requestHash: number,
    attempted: ReadonlySet<string>,
  ): void => {
    const candidates = daemons[daemon]!;
    const placement = choose(daemon, candidates, requestHash, attempted, nowMs);
    if (!placement) return;
    const { candidate: { record, target } } = placement;
    const index = Number(target.id.slice(1));
    const contended = targets[index]!;
    const isCounted = nowMs >= WARMUP_MS;
    if (isCounted) {
      const burst = Math.floor((nowMs - WARMUP_MS) / BURST_MS);
      bursts[burst] ??= targets.map(() => 0);
      bursts[burst]![index]! += 1;
    }
    const recordLoad = () => {
      if (report === "nothing") return;
      record.recordReportedLoad({
        runningRequests: contended.running,
        waitingRequests: contended.waiting,
        slots: SLOTS,
        slowdown: report === "slowdown" ? contended.slowdown : undefined,
      }, nowMs);
    };
    if (contended.isFull) {
      if (isCounted) rejections += 1;
      recordLoad();
      record.recordOutcome("refused", nowMs);
      const all = new Set([...attempted, target.incarnation]);
      return send(daemon, sentAtMs, requestHash, all);
    }
    const attempt: InFlightAttempt = {
      startedAtMs: nowMs,
      unreadTokens: 0,
      lastByteAtMs: nowMs,
      hasResponse: false,
      eventsReceived: 0,
    };
    record.attempts.add(attempt);
    contended.accept(nowMs, (endAtMs) => {
      const end = Math.ceil(endAtMs);
      ends.set(end, [...ends.get(end) ?? [], () => {
        recordLoad();
        contended.finish(nowMs);
        record.attempts.delete(attempt);
        record.recordOutcome("good", nowMs);
        const attemptMs = nowMs - attempt.startedAtMs;
        if (report === "slowdown") {
          record.recordSlowedFirstByte(attemptMs, contended.slowdown);
        }
        record.recordFirstByte(attemptMs, 200, nowMs);
        if (isCounted) tookMs.push(nowMs - sentAtMs);
      }]);
    });
  };
  let nextAtMs = 0;
  for (; nowMs < END_MS; nowMs++) {
    if (nowMs % SPEED_PERIOD_MS === 0) {
      for (const [index, target] of targets.entries()) {
        target.slowdown = speeds(random, index, nowMs);
      }
    }
    for (const end of ends.get(nowMs) ?? []) end();
    ends.delete(nowMs);
    while (nextAtMs <= nowMs) {
      requests += 1;
      const daemon = Math.floor(random() * DAEMONS);
      send(daemon, nowMs, mixHash32(11, requests), new Set());
      nextAtMs -= Math.log(1 - random()) / REQUESTS_PER_MS;
    }
  }
  tookMs.sort((a, b) => a - b);
  const shares = bursts.filter(Boolean).map((counts) =>
    Math.max(...counts) / counts.reduce((sum, count) => sum + count, 0)
  );
  return {
    rejections,
    busiestShare: shares.reduce((sum, share) => sum + share, 0) / shares.length,
    p99Ms: tookMs[Math.floor(tookMs.length * 0.99)] ?? 0,
  };
}

const SEEDS = [1, 2, 3];

// Guards against daemons that place work without the reports of contended
// targets, and against reports that gather the daemons at one target.
describe("138 daemons that rarely hear of three contended targets", () => {
  it.each(SEEDS)(
    "meet fewer full targets with the slowdown (seed %i)",
    (seed) => {
      const blind = simulate("nothing", slowEpisodes, seed);
      const withLoad = simulate("load", slowEpisodes, seed);
      const withSlowdown = simulate("slowdown", slowEpisodes, seed);
      expect(withLoad.rejections).toBeLessThan(0.8 * blind.rejections);
      expect(withSlowdown.rejections).toBeLessThan(0.7 * blind.rejections);
      expect(withSlowdown.rejections).toBeLessThan(withLoad.rejections);
    },
  );

  it.each(SEEDS)("gather at no target (seed %i)", (seed) => {
    const blind = simulate("nothing", changingSpeeds, seed);
    for (const report of ["load", "slowdown"] as const) {
      const { busiestShare, p99Ms, rejections } = simulate(
        report,
        changingSpeeds,
        seed,
      );
      expect(busiestShare).toBeLessThan(blind.busiestShare + 0.05);
      expect(p99Ms).toBeLessThan(1.25 * blind.p99Ms);
      expect(rejections).toBe(0);
    }
  });

  it("spread where all last heard long ago that one target is free", () => {
    const chosen = Array.from({ length: DAEMONS }, (_, daemon) => {
      const candidates = createCandidates();
      for (const [index, { record }] of candidates.entries()) {
        const load = index === 0 ? 0 : 6;
        record.recordReportedLoad({
          runningRequests: load,
          waitingRequests: 0,
          slots: SLOTS,
          slowdown: index === 0 ? 1 : 3,
        }, 0);
        record.recordSlowedFirstByte(WORK_MS, 1);
      }
      return choose(daemon, candidates, mixHash32(5, daemon), new Set(), 2_500)!
        .candidate.target.id;
    });
    const share = chosen.filter((id) => id === "t0").length / DAEMONS;
    expect(share).toBeLessThan(0.6);
  });

  it("soon forget a slowdown, which targets change many times a second", () => {
    const record = new TargetRecord();
    record.recordReportedLoad({
      runningRequests: 1,
      waitingRequests: 0,
      slots: SLOTS,
      slowdown: 3,
    }, 0);
    expect(record.slowdown(0)).toBe(3);
    expect(record.slowdown(250)).toBe(2);
    expect(record.slowdown(2_000)).toBeCloseTo(1, 1);
  });
});
