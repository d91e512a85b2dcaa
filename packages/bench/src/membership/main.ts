/**
 * Measures the membership protocol in virtual time and prints JSON. Run with
 * `node packages/bench/dist/membership/main.js [--seed N]` after a build.
 */
import { parseArgs } from "node:util";
import { CLEAN_LINKS, LOSSY_LINKS } from "./fake_link.ts";
import {
  measureBytes,
  measureDetection,
  measureFalseDeaths,
  NO_SUSPICION,
} from "./measure.ts";

const { values } = parseArgs({
  options: { seed: { type: "string", default: "1" } },
});
const seed = Number(values.seed);

const TODAY = { zones: 3, daemonsPerZone: 2, seed };
const ZONE = { zones: 1, daemonsPerZone: 24, seed };
const HOUR_MS = 3_600_000;
/** Stalls shorter than the pause limit, as of garbage collection or disks. */
const STALL = { everyMs: 20_000, lengthMs: 1000 };

function percentile(sorted: readonly number[], share: number): number {
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[at] ?? Number.NaN;
}

function print(name: string, result: unknown): void {
  console.log(JSON.stringify({ name, seed, result }));
}

for (const [name, membership] of [["with", {}], ["without", NO_SUSPICION]]) {
  const period = `${name} suspicion period`;
  const setup = {
    ...ZONE,
    links: LOSSY_LINKS,
    membership: membership as object,
  };
  print(`false deaths ${period}`, measureFalseDeaths(setup, HOUR_MS, STALL));
  const { timesMs, undetected } = measureDetection(setup, 60, true);
  print(`detection ${period}`, {
    crashes: 60,
    undetected,
    p50Ms: percentile(timesMs, 0.5),
    p95Ms: percentile(timesMs, 0.95),
    maxMs: timesMs.at(-1),
  });
}
const closed = measureDetection({ ...ZONE, links: LOSSY_LINKS }, 60, false);
print("detection where connections close", {
  undetected: closed.undetected,
  p50Ms: percentile(closed.timesMs, 0.5),
  maxMs: closed.timesMs.at(-1),
});
const MEASURED_MS = 60_000;
print(
  "bytes today, nothing attached",
  measureBytes({ ...TODAY, links: CLEAN_LINKS }, MEASURED_MS, undefined),
);
print(
  "bytes today, attachments change all the time",
  measureBytes({ ...TODAY, links: CLEAN_LINKS }, MEASURED_MS, 50),
);
for (const daemonsPerZone of [12, 48, 96, 193]) {
  const setup = { zones: 2, daemonsPerZone, seed, links: CLEAN_LINKS };
  print(
    `bytes at ${daemonsPerZone} daemons in each of 2 zones`,
    measureBytes(setup, MEASURED_MS, undefined),
  );
}
for (const zones of [4, 8, 14]) {
  const setup = { zones, daemonsPerZone: 12, seed, links: CLEAN_LINKS };
  print(
    `bytes at ${zones} zones of 12 daemons`,
    measureBytes(setup, MEASURED_MS, undefined),
  );
}
