import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { DEFAULT_FAIR_QUEUE_SETTINGS, FairQueue } from "./fair_queue.ts";
import type { QueuedRequest } from "./team_queue.ts";

const TEAMS = 10;
const SURGING_TEAMS = 2;
const SURGE_FACTOR = 10;
const MEAN_SERVICE_MS = 1_000;
const DURATION_MS = 300_000;
const DEADLINE_MS = 60_000;
/** Maximum growth of the p95 wait of teams that are not surging. */
const ALLOWED_RATIO = 1.1;
const EXPIRY_PERIOD_MS = 100;
/** Waits below one timer tick count as no wait. */
const NO_WAIT_MS = 1;

interface Load {
  readonly seed: number;
  /** Capacity of the queue, in requests. */
  readonly places: number;
  /** Load of all teams without a surge, divided by the capacity. */
  readonly utilization: number;
  readonly isSurge: boolean;
  readonly isFair: boolean;
}

interface Arrival extends QueuedRequest {
  readonly atMs: number;
  readonly serviceMs: number;
}

/** Result of a replay; `calm` are the teams that never surge. */
interface Replay {
  readonly calmP95Ms: number;
  readonly calmRefused: number;
  readonly surgeRefused: number;
  readonly meanRunning: number;
}

/** Replays the arrivals of all teams through one queue in virtual time. */
function replay(load: Load): Replay {
  const queue = new FairQueue(
    {
      ...DEFAULT_FAIR_QUEUE_SETTINGS,
      maxQueued: 1_000,
    },
    load.places,
  );
  const arrivals = createArrivals(load);
  const ends: { atMs: number; request: QueuedRequest }[] = [];
  const waitsMs: number[] = [];
  const rejections = [0, 0];
  let busyMs = 0;
  const arrivalById = new Map(arrivals.map((item) => [item.requestId, item]));
  const reject = (id: string) => {
    rejections[isSurging(id) ? 1 : 0]! += 1;
  };
  let lastExpiryMs = 0;
  const startQueued = (nowMs: number) => {
    if (nowMs - lastExpiryMs >= EXPIRY_PERIOD_MS) {
      lastExpiryMs = nowMs;
      for (const { request } of queue.expire(nowMs)) reject(request.requestId);
    }
    for (;;) {
      const next = queue.peek(nowMs);
      if (!next) return;
      queue.start(next, nowMs);
      const { atMs, serviceMs } = arrivalById.get(next.requestId)!;
      if (!isSurging(next.requestId)) waitsMs.push(nowMs - atMs);
      busyMs += serviceMs;
      insertSorted(ends, { atMs: nowMs + serviceMs, request: next });
    }
  };
  for (const arrival of arrivals) {
    while (ends.length > 0 && ends[0]!.atMs <= arrival.atMs) {
      const end = ends.shift()!;
      queue.finish(end.request, end.atMs);
      startQueued(end.atMs);
    }
    const rejection = queue.offer(arrival, arrival.atMs);
    if (rejection) reject(rejection.request.requestId);
    startQueued(arrival.atMs);
  }
  waitsMs.sort((a, b) => a - b);
  return {
    calmP95Ms: waitsMs[Math.floor(waitsMs.length * 0.95)] ?? 0,
    calmRefused: rejections[0]!,
    surgeRefused: rejections[1]!,
    meanRunning: busyMs / DURATION_MS,
  };
}

function isSurging(requestId: string): boolean {
  return Number(requestId.split("-")[0]) < SURGING_TEAMS;
}

function createArrivals(load: Load): Arrival[] {
  const arrivals: Arrival[] = [];
  const gapMs = MEAN_SERVICE_MS * TEAMS / (load.places * load.utilization);
  for (let team = 0; team < TEAMS; team++) {
    // Each team has its own random generator, so the teams that are not surging
    // send the same load with and without the surge of the others.
    const random = xoroshiro128plus(load.seed * 100 + team);
    const factor = load.isSurge && team < SURGING_TEAMS ? SURGE_FACTOR : 1;
    const exponential = (mean: number) =>
      -mean * Math.log(1 - uniformFloat64(random));
    let atMs = 0;
    for (let index = 0;; index++) {
      atMs += exponential(gapMs / factor);
      if (atMs > DURATION_MS) break;
      arrivals.push({
        requestId: `${team}-${index}`,
        team: load.isFair ? `team-${team}` : "all",
        weight: 1,
        priority: 5,
        maxTeamRunning: Infinity,
        deadlineMs: atMs + DEADLINE_MS,
        atMs,
        serviceMs: exponential(MEAN_SERVICE_MS),
      });
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function insertSorted<T extends { atMs: number }>(list: T[], item: T): void {
  let index = list.length;
  while (index > 0 && list[index - 1]!.atMs > item.atMs) index -= 1;
  list.splice(index, 0, item);
}

describe("FairQueue in a surge of 2 of 10 teams", () => {
  const cases = [104, 32, 16].flatMap((places) =>
    [0.7, 0.8, 0.9].flatMap((utilization) =>
      (places > 50 ? [1] : [1, 2, 3]).map((seed) => (
        { seed, places, utilization }
      ))
    )
  );
  for (const base of cases) {
    it(`preserves the wait of the other teams: ${JSON.stringify(base)}`, () => {
      const calm = replay({ ...base, isSurge: false, isFair: true });
      const surge = replay({ ...base, isSurge: true, isFair: true });
      const fifoCalm = replay({ ...base, isSurge: false, isFair: false });
      const fifo = replay({ ...base, isSurge: true, isFair: false });
      if (process.env["PRINT_FIGURES"]) {
        console.log(JSON.stringify({ base, calm, surge, fifo, fifoCalm }));
      }
      // The reserve must not cause waits in times without a surge either.
      const calmP95Ms = Math.min(calm.calmP95Ms, fifoCalm.calmP95Ms);
      const allowedMs = Math.max(NO_WAIT_MS, calmP95Ms * ALLOWED_RATIO);
      expect(surge.calmP95Ms).toBeLessThanOrEqual(allowedMs);
      expect(surge.calmRefused).toBe(0);
      // With one FIFO queue for all teams, the other teams wait behind the
      // surge.
      expect(fifo.calmP95Ms).toBeGreaterThan(1_000);
    });
  }
});
