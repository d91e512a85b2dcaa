/**
 * Measures the membership protocol in virtual time and prints JSON lines. Run
 * after a build: `node packages/bench/dist/membership/main.js [--seeds N]`.
 */
import { parseArgs } from "node:util";
import { DEFAULT_MEMBERSHIP_OPTIONS } from "@coltsfootford/core";
import { CLEAN_LINKS, LOSSY_LINKS } from "./fake_link.ts";
import {
  type DetectionResult,
  measureBytes,
  measureDetection,
  measureFalseDeaths,
} from "./measure.ts";

const { values } = parseArgs({
  options: { seeds: { type: "string", default: "3" } },
});
const seeds = Array.from({ length: Number(values.seeds) }, (_, i) => i + 1);

/** Virtual time for which false deaths are counted, for each seed. */
const OBSERVATION_MS = 3_600_000;
const BYTES_MS = 60_000;
const CRASH_COUNT = 24;
/**
 * Suspicion periods to compare. With 0, a daemon counts as dead as soon as it is
 * suspected.
 */
const SUSPICION_PERIODS_MS = [0, 500, 1000, 1500];
/** Stalls shorter than the pause limit, as caused by garbage collection. */
const STALL = { everyMs: 20_000, lengthMs: 1000 };
/** Period of attachment changes; shorter than the send interval. */
const ATTACHMENT_PERIOD_MS = 50;

const ONE_ZONE_FLEET = { zones: 1, daemonsPerZone: 12, links: LOSSY_LINKS };
/** The current fleet size; printed as `today`. */
const THREE_ZONE_FLEET = { zones: 3, daemonsPerZone: 2, links: LOSSY_LINKS };

function print(name: string, result: object): void {
  console.log(JSON.stringify({ name, ...result }));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function summarize(results: readonly DetectionResult[]): object {
  const timesMs = results.flatMap((result) => result.timesMs)
    .sort((a, b) => a - b);
  const percentile = (share: number) =>
    timesMs[Math.floor(timesMs.length * share)];
  return {
    crashes: sum(results.map((result) => result.crashes)),
    undetected: sum(results.map((result) => result.undetected)),
    p50Ms: percentile(0.5),
    p95Ms: percentile(0.95),
    maxMs: timesMs.at(-1),
  };
}

function compareSuspicionPeriods(): void {
  for (const fleet of [THREE_ZONE_FLEET, ONE_ZONE_FLEET]) {
    for (const suspicionMs of SUSPICION_PERIODS_MS) {
      const setups = seeds.map((seed) => ({
        ...fleet,
        seed,
        membership: { suspicionMs },
      }));
      const falseDeathResults = setups.map((setup) =>
        measureFalseDeaths(setup, OBSERVATION_MS, STALL)
      );
      const detectionResults = setups.map((setup) =>
        measureDetection(setup, CRASH_COUNT, true)
      );
      print("suspicion period", {
        zones: fleet.zones,
        daemonsPerZone: fleet.daemonsPerZone,
        suspicionMs,
        daemonHours: sum(falseDeathResults.map((result) => result.daemonHours)),
        falseDeaths: sum(falseDeathResults.map((result) => result.falseDeaths)),
        falseSuspicions: sum(
          falseDeathResults.map((result) => result.falseSuspicions),
        ),
        ...summarize(detectionResults),
      });
    }
  }
}

function measureThreeZoneFleet(): void {
  const detectionResults = seeds.map((seed) =>
    measureDetection({ ...THREE_ZONE_FLEET, seed }, CRASH_COUNT, false)
  );
  print(
    "today, detection with closed connections",
    summarize(detectionResults),
  );
  const setup = { ...THREE_ZONE_FLEET, seed: 1, links: CLEAN_LINKS };
  print("today, bytes", measureBytes(setup, BYTES_MS, undefined));
  print(
    "today, bytes with attachments that change all the time",
    measureBytes(setup, BYTES_MS, ATTACHMENT_PERIOD_MS),
  );
}

function measureSlopes(): void {
  for (const daemonsPerZone of [12, 48, 96, 193]) {
    const setup = { zones: 2, daemonsPerZone, seed: 1, links: CLEAN_LINKS };
    const result = measureBytes(setup, BYTES_MS, undefined);
    print("bytes by zone size", { zones: 2, daemonsPerZone, ...result });
  }
  for (const zones of [4, 8, 14]) {
    const setup = { zones, daemonsPerZone: 12, seed: 1, links: CLEAN_LINKS };
    const result = measureBytes(setup, BYTES_MS, undefined);
    print("bytes by zones", { zones, daemonsPerZone: 12, ...result });
  }
}

print("options", DEFAULT_MEMBERSHIP_OPTIONS);
measureThreeZoneFleet();
compareSuspicionPeriods();
measureSlopes();
