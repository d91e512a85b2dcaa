import {
  CacheEstimates,
  type Candidate,
  chooseTarget,
  type InFlightAttempt,
  mixHash32,
  NO_PROMPT,
  type Placement,
  TargetRecord,
  VirtualTimerService,
} from "@coltsfootford/core";
import { ContendedTarget, SLOTS } from "./contended_target.ts";
import { ModelledLine } from "./modelled_line.ts";

/** What daemons know: nothing, the load, the slowdown, or the line as well. */
export const KNOWLEDGE = ["nothing", "load", "slowdown", "order"] as const;
export type Knowledge = typeof KNOWLEDGE[number];

const DAEMONS = 138;
const TARGETS = 3;
const REQUESTS_PER_MS = 0.192;
const DEADLINE_MS = 1_000;
const OBJECTIVE_MS = 300;
const EPISODE_MS = 2_000;
const SPEED_PERIOD_MS = 150;
const WARMUP_MS = 5_000;
const END_MS = 35_000;
/** As in the daemon's `TargetSelection`. */
const PREFERRED_WAIT_MS = 250;
const MAX_WAIT_SHARE = 1 / 3;
const MAX_ASKS = 4;
const MAX_REJECTIONS = 3;

/** Options of a run. */
export interface ContendedFleetOptions {
  readonly knowledge: Knowledge;
  /** Slowdown of the targets that are not slow at the moment. */
  readonly usualSlowdown: number;
  readonly seed: number;
}

/** Counts of the requests after the warm-up. */
export interface ContendedFleetResult {
  requests: number;
  arrivals: number;
  /** Arrivals that a full target rejected. */
  full: number;
  served: number;
  /** Served after the objective. */
  late: number;
  rejected: number;
  timedOut: number;
  asks: number;
  readonly tookMs: number[];
}

interface ModelledRequest {
  readonly id: number;
  readonly daemon: number;
  readonly sentAtMs: number;
  readonly isCounted: boolean;
  readonly excluded: Set<string>;
  asks: number;
  rejections: number;
}

/** A fleet whose three targets are slow in turn, for two seconds each. */
export class ContendedFleet {
  readonly #options: ContendedFleetOptions;
  readonly #timer = new VirtualTimerService();
  readonly #targets: readonly ContendedTarget[];
  readonly #lines: readonly ModelledLine[];
  readonly #daemons: readonly Candidate[][];
  readonly #cacheEstimates = new CacheEstimates();
  readonly #result: ContendedFleetResult = {
    requests: 0,
    arrivals: 0,
    full: 0,
    served: 0,
    late: 0,
    rejected: 0,
    timedOut: 0,
    asks: 0,
    tookMs: [],
  };
  #randoms = 0;
  #sent = 0;

  constructor(options: ContendedFleetOptions) {
    const timer = this.#timer;
    this.#options = options;
    const indexes = Array.from({ length: TARGETS }, (_, index) => index);
    this.#targets = indexes.map(() => new ContendedTarget(timer));
    this.#lines = indexes.map(() => new ModelledLine(timer));
    this.#daemons = Array.from(
      { length: DAEMONS },
      () => indexes.map(createCandidate),
    );
  }

  run(): ContendedFleetResult {
    this.#timer.every(SPEED_PERIOD_MS, () => this.#changeSpeeds());
    this.#sendNext();
    this.#timer.advance(END_MS);
    for (const { asks } of this.#lines) this.#result.asks += asks;
    this.#result.tookMs.sort((a, b) => a - b);
    return this.#result;
  }

  get #nowMs(): number {
    return this.#timer.nowMs();
  }

  #random(): number {
    this.#randoms += 1;
    return mixHash32(this.#options.seed, this.#randoms) / 2 ** 32;
  }

  #changeSpeeds(): void {
    const slow = Math.floor(this.#nowMs / EPISODE_MS) % TARGETS;
    for (const [index, target] of this.#targets.entries()) {
      target.slowdown = index === slow
        ? 5 + 2 * this.#random()
        : this.#options.usualSlowdown;
    }
  }

  #sendNext(): void {
    this.#sent += 1;
    const request: ModelledRequest = {
      id: this.#sent,
      daemon: Math.floor(this.#random() * DAEMONS),
      sentAtMs: this.#nowMs,
      isCounted: this.#nowMs >= WARMUP_MS,
      excluded: new Set(),
      asks: 0,
      rejections: 0,
    };
    this.#count(request, "requests");
    this.#select(request);
    const pauseMs = -Math.log(1 - this.#random()) / REQUESTS_PER_MS;
    this.#timer.after(pauseMs, () => this.#sendNext());
  }

  #count(
    { isCounted }: ModelledRequest,
    name: Exclude<keyof ContendedFleetResult, "tookMs">,
  ): void {
    if (isCounted) this.#result[name] += 1;
  }

  #select(request: ModelledRequest): void {
    const leftMs = request.sentAtMs + DEADLINE_MS - this.#nowMs;
    if (leftMs <= 0) return this.#count(request, "timedOut");
    const placement = this.#choose(request);
    if (!placement) return this.#count(request, "rejected");
    const line = this.#lines[indexOf(placement)]!;
    const needsSlot = this.#options.knowledge === "order" &&
      request.rejections === 0 && line.isContended;
    if (!needsSlot) return this.#send(request, placement, undefined);
    request.asks += 1;
    const slot = `${request.id}/${request.asks}`;
    const waitMs = Number.isFinite(placement.runnerUpCostMs)
      ? Math.min(PREFERRED_WAIT_MS, leftMs * MAX_WAIT_SHARE)
      : leftMs;
    line.request({
      id: slot,
      rank: 1,
      team: undefined,
      deadlineAtMs: this.#nowMs + leftMs,
      objectiveAtMs: request.sentAtMs + OBJECTIVE_MS,
      expectedWorkMs: placement.candidate.record.usualFirstByteMs ??
        OBJECTIVE_MS / 2,
      mayWaitUntilMs: this.#nowMs + waitMs,
    }, ({ kind }) => {
      if (kind === "execute") return this.#send(request, placement, slot);
      request.excluded.add(placement.candidate.target.incarnation);
      if (request.asks >= MAX_ASKS) return this.#count(request, "rejected");
      this.#select(request);
    });
  }

  #choose({ id, daemon, excluded }: ModelledRequest): Placement | undefined {
    return chooseTarget({
      prompt: NO_PROMPT,
      targetLatencyMs: OBJECTIVE_MS,
      attemptedIncarnations: excluded,
      candidates: this.#daemons[daemon]!,
      departed: [],
      engine: undefined,
      cacheEstimates: this.#cacheEstimates,
      requestHash: mixHash32(11, id),
      nowMs: this.#nowMs,
    }, {
      availabilityZone: "a",
      daemonHash: mixHash32(7, daemon),
      maxLoadFactor: 2,
      promptTokensPerMs: 50,
    });
  }

  #send(
    request: ModelledRequest,
    placement: Placement,
    slot: string | undefined,
  ): void {
    const { record, target: { incarnation } } = placement.candidate;
    const target = this.#targets[indexOf(placement)]!;
    const line = this.#lines[indexOf(placement)]!;
    const startedAtMs = this.#nowMs;
    const attempt: InFlightAttempt = {
      startedAtMs,
      unreadTokens: 0,
      lastByteAtMs: startedAtMs,
      hasResponse: false,
      eventsReceived: 0,
    };
    this.#count(request, "arrivals");
    record.attempts.add(attempt);
    const onResponse = () => {
      record.attempts.delete(attempt);
      if (slot !== undefined) line.release(slot);
      this.#learn(record, target, line);
    };
    const isAccepted = target.accept(() => {
      onResponse();
      const tookMs = this.#nowMs - startedAtMs;
      record.recordOutcome("good", this.#nowMs);
      record.recordFirstByte(tookMs, OBJECTIVE_MS / 2, this.#nowMs);
      if (record.reportsSlowdown) {
        record.recordSlowedFirstByte(tookMs, target.slowdown);
      }
      this.#finish(request);
    });
    if (isAccepted) return;
    onResponse();
    this.#count(request, "full");
    record.recordOutcome("refused", this.#nowMs);
    request.excluded.add(incarnation);
    request.rejections += 1;
    if (request.rejections > MAX_REJECTIONS) {
      return this.#count(request, "rejected");
    }
    this.#select(request);
  }

  #learn(
    record: TargetRecord,
    { load }: ContendedTarget,
    line: ModelledLine,
  ): void {
    const { knowledge } = this.#options;
    if (knowledge === "nothing") return;
    const slowdown = knowledge === "load" ? undefined : load.slowdown;
    record.recordReportedLoad({ ...load, slowdown }, this.#nowMs);
    if (knowledge === "order") line.onReport(load);
  }

  #finish(request: ModelledRequest): void {
    const tookMs = this.#nowMs - request.sentAtMs;
    if (tookMs > DEADLINE_MS) return this.#count(request, "timedOut");
    this.#count(request, "served");
    if (tookMs > OBJECTIVE_MS) this.#count(request, "late");
    if (request.isCounted) this.#result.tookMs.push(tookMs);
  }
}

function indexOf({ candidate }: Placement): number {
  return candidate.target.port;
}

function createCandidate(index: number): Candidate {
  return {
    target: {
      id: `t${index}`,
      incarnation: `t${index}@1`,
      bornAtMs: 1,
      sequence: 1,
      service: "desk",
      host: "127.0.0.1",
      port: index,
      availabilityZone: "a",
      slots: SLOTS,
      isLeaving: false,
      coldLeftMs: 0,
    },
    record: new TargetRecord(),
    incarnationHash: mixHash32(99, index),
  };
}
