import {
  CacheEstimates,
  type Candidate,
  chooseTarget,
  expectedFirstByteMs,
  hash32,
  type InFlightAttempt,
  OverloadAnnouncements,
  type Placement,
  type PlacementSettings,
  sharedParts,
  TargetRecord,
  totalRequests,
} from "@coltsfootford/core";
import type { RandomSource } from "../load/index.ts";
import type { EventHeap } from "../replay/index.ts";
import { ENGINE_SLOTS, FakeBatchEngine } from "./fake_batch_engine.ts";
import type { WorkloadRequest } from "./workload.ts";

/** Size of a fleet. */
export interface FleetSize {
  readonly daemons: number;
  readonly targets: number;
}

/** The requests a second that a target names as its limit at a moment. */
export type LimitPlan = (
  targetIndex: number,
  nowMs: number,
) => number | undefined;

/** A request that has arrived at a target. */
export interface Arrival {
  readonly placement: Placement;
  readonly target: string;
  /** Requests that the target held before the request. */
  readonly load: number;
  /** Mean load of all targets before the request. */
  readonly meanLoad: number;
  /** Age of the report that the daemon knew, in ms; infinite without one. */
  readonly reportAgeMs: number;
}

/** Receives what happens in a `FleetModel`. */
export interface FleetObserver {
  onArrival(arrival: Arrival): void;
  onFirstEvent(latencyMs: number): void;
  /** A daemon announces an overloaded target to all others. */
  onAnnouncement(): void;
  /** Processor time of a placement, in ms. */
  onPlacement(durationMs: number): void;
  /** A request found no target. */
  onRejected?(): void;
}

const ZONES = 4;
/** Objective of the time to the first byte. */
const TARGET_LATENCY_MS = 400;
const IN_ZONE_DELAY_MS = 0.2;
const CROSS_ZONE_DELAY_MS = 3.9;
/** Time until an announcement has been relayed to all daemons. */
const ANNOUNCEMENT_DELAY_MS = 30;
/** Age of the load that a response reports. */
const REPORT_LAG_MS = 200;
const PROMPT_TOKENS_PER_MS = 50;
const ENGINE = {
  slots: ENGINE_SLOTS,
  cacheBytesPerToken: 163_840,
  linkMbps: 260_000,
};

/** A daemon with its own knowledge of the targets. */
class ModelDaemon {
  readonly candidates: readonly Candidate[];
  readonly cacheEstimates = new CacheEstimates();
  readonly announcements = new OverloadAnnouncements();
  readonly settings: PlacementSettings;

  constructor(index: number, targets: number, maxLoadFactor: number) {
    this.candidates = Array.from(
      { length: targets },
      (_, target) => createCandidate(target),
    );
    this.settings = {
      availabilityZone: zoneOf(index),
      daemonHash: hash32(`daemon-${index}`),
      maxLoadFactor,
      promptTokensPerMs: PROMPT_TOKENS_PER_MS,
    };
  }
}

/**
 * Daemons that place requests on targets with the production decision code.
 * Each knows of a target what the responses to its own requests reported.
 */
export class FleetModel {
  readonly #heap: EventHeap;
  readonly #random: RandomSource;
  readonly #observer: FleetObserver;
  readonly #daemons: ModelDaemon[];
  readonly #size: FleetSize;
  readonly #maxLoadFactor: number;
  readonly #engines: readonly FakeBatchEngine[];
  /** Messages between daemons about limits. */
  limitMessages = 0;

  constructor(
    size: FleetSize,
    maxLoadFactor: number,
    heap: EventHeap,
    random: RandomSource,
    observer: FleetObserver,
    _limits: LimitPlan = () => undefined,
  ) {
    this.#heap = heap;
    this.#random = random;
    this.#observer = observer;
    this.#size = size;
    this.#maxLoadFactor = maxLoadFactor;
    this.#daemons = Array.from(
      { length: size.daemons },
      (_, index) => new ModelDaemon(index, size.targets, maxLoadFactor),
    );
    this.#engines = Array.from(
      { length: size.targets },
      () => new FakeBatchEngine(heap, REPORT_LAG_MS),
    );
  }

  /** Restarts a daemon, which forgets what it knew. */
  restart(daemonIndex: number): void {
    this.#daemons[daemonIndex] = new ModelDaemon(
      daemonIndex,
      this.#size.targets,
      this.#maxLoadFactor,
    );
  }

  /** Places a request at a daemon and sends it. */
  send(daemonIndex: number, request: WorkloadRequest): void {
    const daemon = this.#daemons[daemonIndex]!;
    const sentAtMs = this.#heap.nowMs;
    const startedAtMs = performance.now();
    const placement = chooseTarget({
      prompt: request.prompt,
      targetLatencyMs: TARGET_LATENCY_MS,
      attemptedIncarnations: new Set(),
      candidates: daemon.candidates,
      departed: [],
      engine: ENGINE,
      cacheEstimates: daemon.cacheEstimates,
      nowMs: sentAtMs,
    }, daemon.settings);
    this.#observer.onPlacement(performance.now() - startedAtMs);
    if (!placement) throw new Error("no target was chosen");
    this.#forward(daemon, placement, request);
  }

  #forward(
    daemon: ModelDaemon,
    placement: Placement,
    request: WorkloadRequest,
  ): void {
    const { record, target } = placement.candidate;
    const sentAtMs = this.#heap.nowMs;
    const attempt: InFlightAttempt = {
      startedAtMs: sentAtMs,
      unreadTokens: placement.missingTokens,
      lastByteAtMs: sentAtMs,
      hasResponse: false,
      eventsReceived: 0,
    };
    const reportAgeMs = record.reportedLoadAgeMs(sentAtMs);
    record.attempts.add(attempt);
    daemon.cacheEstimates.recordRead(
      target.incarnation,
      sharedParts(request.prompt),
      sentAtMs,
    );
    const delayMs = target.availabilityZone === daemon.settings.availabilityZone
      ? IN_ZONE_DELAY_MS
      : CROSS_ZONE_DELAY_MS;
    const engine = this.#engines[target.port]!;
    this.#heap.after(delayMs, () => {
      this.#observer.onArrival({
        placement,
        target: target.id,
        load: engine.load,
        meanLoad: this.#meanLoad(),
        reportAgeMs,
      });
      engine.accept({
        prompt: request.prompt,
        events: request.events,
        fetchableTokens: placement.source?.tokens ?? 0,
        onFirstEvent: (load) =>
          this.#heap.after(delayMs, () => {
            const nowMs = this.#heap.nowMs;
            attempt.hasResponse = true;
            attempt.unreadTokens = 0;
            attempt.lastByteAtMs = nowMs;
            record.recordReportedLoad(load, nowMs);
            this.#announce(daemon, placement, totalRequests(load));
            const expectedMs = TARGET_LATENCY_MS / 2 +
              expectedFirstByteMs(placement.missingTokens, daemon.settings);
            record.recordFirstByte(nowMs - sentAtMs, expectedMs, nowMs);
            this.#observer.onFirstEvent(nowMs - sentAtMs);
          }),
        onEnd: () =>
          this.#heap.after(delayMs, () => {
            record.attempts.delete(attempt);
            record.recordOutcome("good", this.#heap.nowMs);
          }),
      });
    });
  }

  /** Announces an overloaded target to all other daemons. */
  #announce(
    daemon: ModelDaemon,
    { candidate, loadBound }: Placement,
    requests: number,
  ): void {
    const { incarnation, port } = candidate.target;
    const { announcements } = daemon;
    const nowMs = this.#heap.nowMs;
    if (!announcements.isNews(incarnation, requests, loadBound, nowMs)) return;
    announcements.recordAnnounced(incarnation, nowMs);
    this.#observer.onAnnouncement();
    this.#heap.after(ANNOUNCEMENT_DELAY_MS, () => {
      for (const other of this.#daemons) {
        if (other === daemon) continue;
        other.announcements.recordAnnounced(incarnation, this.#heap.nowMs);
        other.candidates[port]!.record.recordAnnouncedLoad(
          requests,
          this.#heap.nowMs,
        );
      }
    });
  }

  #meanLoad(): number {
    const total = this.#engines.reduce((sum, { load }) => sum + load, 0);
    return total / this.#engines.length;
  }
}

function createCandidate(index: number): Candidate {
  const incarnation = `i-${index}@1`;
  return {
    target: {
      id: `i-${index}`,
      incarnation,
      bornAtMs: 1,
      sequence: 1,
      service: "models",
      host: "127.0.0.1",
      port: index,
      availabilityZone: zoneOf(index),
      slots: ENGINE_SLOTS,
      isLeaving: false,
      coldLeftMs: 0,
    },
    record: new TargetRecord(),
    incarnationHash: hash32(incarnation),
  };
}

function zoneOf(index: number): string {
  return `zone-${index % ZONES}`;
}
