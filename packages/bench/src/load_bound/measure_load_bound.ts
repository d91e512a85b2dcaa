import { RandomSource } from "../load/index.ts";
import { EventHeap } from "../replay/index.ts";
import { type Arrival, FleetModel, type FleetSize } from "./fleet_model.ts";
import {
  type HotSubject,
  LARGE_MODEL_SERVICE,
  Workload,
  type WorkloadKind,
} from "./workload.ts";

/** Input of a measurement. */
export interface LoadBoundOptions extends FleetSize {
  readonly seed: number;
  readonly durationMs: number;
  readonly hot?: readonly HotSubject[];
}

/** What a measurement has found. */
export interface LoadBoundResult {
  readonly requests: number;
  /** Share of the requests that reached a target above the bound. */
  readonly overBoundShare: number;
  /** The same in the worst window of `WINDOW_MS`. */
  readonly worstWindowShare: number;
  /** Requests above the bound by the reason of their placement. */
  readonly overBoundByReason: Readonly<Record<string, number>>;
  /** Targets that received a tenth or more of the requests above the bound. */
  readonly concentratedTargets: number;
  /** Mean age of the known reports that were used. */
  readonly meanReportAgeMs: number;
  /** Share of the requests to a target without any report. */
  readonly unreportedShare: number;
  readonly meanLoad: number;
  readonly firstEventMeanMs: number;
  readonly firstEventP95Ms: number;
  /** Prompt tokens that were assumed to be missing, per request. */
  readonly missingTokens: number;
  readonly placementUs: number;
  /** Announcements of overloaded targets by all daemons. */
  readonly announcementsPerSecond: number;
}

/** The load bound of the platform's rules: a multiple of the mean, and slack. */
export const MAX_LOAD_FACTOR = 2;
export const LOAD_SLACK_REQUESTS = 3;
/** Share of the requests in a window that may reach targets above the bound. */
export const MAX_OVER_BOUND_SHARE = 0.03;
const WINDOW_MS = 5_000;
const WINDOW_STEP_MS = 250;
/** Requests are counted once the fleet has settled. */
const WARM_UP_MS = 5_000;
/** Targets of the deployment whose traffic `LARGE_MODEL_SERVICE` states. */
const SHEET_TARGETS = 98;
/** Clients of one daemon, whose traffic the balancer sends to it. */
const CLIENTS_PER_DAEMON = 4;
/** Requests that arrive at the same moment, on average. */
const MEAN_CLUMP = 3;
const MS_PER_S = 1_000;

interface CountedArrival {
  readonly atMs: number;
  readonly arrival: Arrival;
  readonly isOverBound: boolean;
}

/**
 * Measures how many requests reach a target above the load bound where each
 * daemon decides alone. The traffic is proportional to the number of targets.
 */
export function measureLoadBound(options: LoadBoundOptions): LoadBoundResult {
  const random = new RandomSource(options.seed);
  const heap = new EventHeap();
  const arrivals: CountedArrival[] = [];
  const firstEventMs: number[] = [];
  let placementMs = 0;
  let placements = 0;
  let announcements = 0;
  const fleet = new FleetModel(options, MAX_LOAD_FACTOR, heap, random, {
    onArrival: (arrival) => {
      const bound = arrival.meanLoad * MAX_LOAD_FACTOR + LOAD_SLACK_REQUESTS;
      const isOverBound = arrival.load > bound;
      if (heap.nowMs < WARM_UP_MS) return;
      arrivals.push({ atMs: heap.nowMs, arrival, isOverBound });
    },
    onFirstEvent: (latencyMs) => firstEventMs.push(latencyMs),
    onAnnouncement: () => {
      announcements += 1;
    },
    onPlacement: (durationMs) => {
      placementMs += durationMs;
      placements += 1;
    },
  });
  const kinds = scaleTraffic(options.targets / SHEET_TARGETS);
  const workload = new Workload(kinds, options.hot ?? [], random);
  startClients(options.daemons, workload, heap, random, fleet);
  heap.runUntil(WARM_UP_MS + options.durationMs);
  firstEventMs.sort((left, right) => left - right);
  return {
    ...summarizeArrivals(arrivals, options.durationMs),
    firstEventMeanMs: mean(firstEventMs),
    firstEventP95Ms: firstEventMs[Math.floor(firstEventMs.length * 0.95)] ?? 0,
    placementUs: placementMs / placements * MS_PER_S,
    announcementsPerSecond: announcements /
      ((WARM_UP_MS + options.durationMs) / MS_PER_S),
  };
}

/** The workload of the sheet for another number of targets. */
export function scaleTraffic(factor: number): WorkloadKind[] {
  return LARGE_MODEL_SERVICE.map((kind) => ({
    ...kind,
    requestsPerSecond: kind.requestsPerSecond * factor,
    subjects: Math.round(kind.subjects * factor),
  }));
}

/**
 * Starts the clients of a fleet. Each client uses one random daemon, so daemons
 * get uneven shares.
 */
export function startClients(
  daemons: number,
  workload: Workload,
  heap: EventHeap,
  random: RandomSource,
  fleet: FleetModel,
): void {
  const daemonByClient = Array.from(
    { length: daemons * CLIENTS_PER_DAEMON },
    () => random.index(daemons),
  );
  const clumpsPerMs = workload.requestsPerSecond / MEAN_CLUMP / MS_PER_S;
  const sendClump = () => {
    do {
      fleet.send(random.pick(daemonByClient), workload.draw(heap.nowMs));
    } while (random.chance(1 - 1 / MEAN_CLUMP));
    heap.after(random.exponential(1 / clumpsPerMs), sendClump);
  };
  heap.after(0, sendClump);
}

function summarizeArrivals(
  arrivals: readonly CountedArrival[],
  durationMs: number,
) {
  const over = arrivals.filter(({ isOverBound }) => isOverBound);
  const overBoundByReason: Record<string, number> = {};
  const overByTarget = new Map<string, number>();
  for (const { arrival } of over) {
    const { target, placement: { reason } } = arrival;
    overBoundByReason[reason] = (overBoundByReason[reason] ?? 0) + 1;
    overByTarget.set(target, (overByTarget.get(target) ?? 0) + 1);
  }
  const ages = arrivals.map(({ arrival }) => arrival.reportAgeMs)
    .filter(Number.isFinite);
  return {
    requests: arrivals.length,
    overBoundShare: over.length / arrivals.length,
    worstWindowShare: findWorstWindow(arrivals, durationMs),
    overBoundByReason,
    concentratedTargets: [...overByTarget.values()]
      .filter((count) => count * 10 >= over.length).length,
    meanReportAgeMs: mean(ages),
    unreportedShare: 1 - ages.length / arrivals.length,
    meanLoad: mean(arrivals.map(({ arrival }) => arrival.meanLoad)),
    missingTokens: mean(
      arrivals.map(({ arrival }) => arrival.placement.missingTokens),
    ),
  };
}

function findWorstWindow(
  arrivals: readonly CountedArrival[],
  durationMs: number,
): number {
  let worst = 0;
  const endMs = WARM_UP_MS + durationMs;
  for (
    let fromMs = WARM_UP_MS;
    fromMs + WINDOW_MS <= endMs;
    fromMs += WINDOW_STEP_MS
  ) {
    const window = arrivals.filter(({ atMs }) =>
      atMs >= fromMs && atMs < fromMs + WINDOW_MS
    );
    const over = window.filter(({ isOverBound }) => isOverBound).length;
    worst = Math.max(worst, over / Math.max(1, window.length));
  }
  return worst;
}

function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return sum / Math.max(1, values.length);
}
