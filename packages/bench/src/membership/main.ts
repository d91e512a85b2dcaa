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

/** Virtual time over which false deaths are counted, for each seed. */
const WATCHED_MS = 3_600_000;
const BYTES_MS = 60_000;
const CRASHES = 24;
/** Periods that are compared; 0 believes the first long silence. */
const SUSPICION_PERIODS_MS = [0, 500, 1000, 1500];
/** Stalls shorter than the pause limit, as of garbage collection. */
const STALL = { everyMs: 20_000, lengthMs: 1000 };
/** How often attachments change at least: faster than they are sent. */
const ATTACH_EVERY_MS = 50;

const ZONE = { zones: 1, daemonsPerZone: 12, links: LOSSY_LINKS };
const TODAY = { zones: 3, daemonsPerZone: 2, links: LOSSY_LINKS };

function print(name: string, result: object): void {
  console.log(JSON.stringify({ name, ...result }));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function summarize(results: readonly DetectionResult[]): object {
  const timesMs = results.flatMap((result) => result.timesMs)
    .sort((a, b) => a - b);
  const at = (share: number) => timesMs[Math.floor(timesMs.length * share)];
  return {
    crashes: sum(results.map((result) => result.crashes)),
    undetected: sum(results.map((result) => result.undetected)),
    p50Ms: at(0.5),
    p95Ms: at(0.95),
    maxMs: timesMs.at(-1),
  };
}

function compareSuspicionPeriods(): void {
  for (const fleet of [TODAY, ZONE]) {
    for (const suspicionMs of SUSPICION_PERIODS_MS) {
      const setups = seeds.map((seed) => ({
        ...fleet,
        seed,
        membership: { suspicionMs },
      }));
      const watched = setups.map((setup) =>
        measureFalseDeaths(setup, WATCHED_MS, STALL)
      );
      const crashes = setups.map((it) => measureDetection(it, CRASHES, true));
      print("suspicion period", {
        zones: fleet.zones,
        daemonsPerZone: fleet.daemonsPerZone,
        suspicionMs,
        daemonHours: sum(watched.map((it) => it.daemonHours)),
        falseDeaths: sum(watched.map((it) => it.falseDeaths)),
        falseSuspicions: sum(watched.map((it) => it.falseSuspicions)),
        ...summarize(crashes),
      });
    }
  }
}

function measureToday(): void {
  const closed = seeds.map((seed) =>
    measureDetection({ ...TODAY, seed }, CRASHES, false)
  );
  print("today, detection with closed connections", summarize(closed));
  const quiet = { ...TODAY, seed: 1, links: CLEAN_LINKS };
  print("today, bytes", measureBytes(quiet, BYTES_MS, undefined));
  print(
    "today, bytes with attachments that change all the time",
    measureBytes(quiet, BYTES_MS, ATTACH_EVERY_MS),
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
measureToday();
compareSuspicionPeriods();
measureSlopes();
