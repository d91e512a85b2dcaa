import { type Team, teamSchema } from "@coltsfootford/core";
import { chooseLayout } from "@coltsfootford/core";
import { measureApplyMs, measureChangeCost } from "../config/change_cost.ts";
import { LOSSY_LINKS } from "../membership/fake_link.ts";
import { measureBytes } from "../membership/measure.ts";
import { formatTable } from "../report/index.ts";
import {
  countExchangeBytes,
  measureExchangeUs,
  measurePermitBytes,
} from "./measure_permits.ts";
import { measurePlacementUs, measureTargetBytes } from "./measure_placement.ts";
import {
  fitSlope,
  measureHeapBytes,
  type Sample,
  type Slope,
} from "./slope.ts";

/** Outputs of the measurement. */
export interface CapacityOptions {
  readonly print: (line: string) => void;
  readonly write: (name: string, text: string) => void;
}

const POOL_SIZES = [13, 130, 507, 1_775];
const VIEW_SIZES = [1_775, 7_100, 28_400];
const PERMIT_COUNTS = [1_000, 4_000, 16_000];
const OWNER_COUNTS = [5, 50, 192, 500];
const ZONE_SIZES = [12, 48, 96, 192];
const TEAM_COUNTS = [570, 1_900, 5_700];
const MEMBERSHIP_DURATION_MS = 20_000;
const CHANGES_PER_DAY = 6_700;
const CHANGE_SAMPLES = 10;
const US_PER_MS = 1_000;

/** Measures the slopes that docs/CAPACITY.md is computed from. */
export function runCapacity(options: CapacityOptions): void {
  const slopes = [
    measure(
      "placement",
      "targets of the pool",
      "us",
      POOL_SIZES,
      (size) => measurePlacementUs(size),
    ),
    measure("permit exchange, both ends", "reports held", "us", OWNER_COUNTS, (
      size,
    ) => measureExchangeUs(size)),
    ...measureMembership(),
    ...measureConfig(),
    measure(
      "a target in a view",
      "targets",
      "bytes each",
      VIEW_SIZES,
      (size) => measureTargetBytes(size),
    ),
    measure("a permit, both ends", "permits", "bytes each", PERMIT_COUNTS, (
      size,
    ) => measurePermitBytes(size)),
    measure(
      "a team in memory",
      "teams",
      "bytes each",
      TEAM_COUNTS,
      (size) => measureHeapBytes(size, () => createTeams(size)),
    ),
  ];
  const bytes = countExchangeBytes();
  options.print(formatTable(slopeTable(slopes)));
  options.print(formatTable({
    title: "bytes of a permit message as a line of JSON-RPC",
    head: ["message", "bytes"],
    rows: Object.entries(bytes).map(([name, count]) => [name, `${count}`]),
  }));
  options.write(
    "capacity.json",
    JSON.stringify({ slopes, bytes }, undefined, 1),
  );
}

function measure(
  name: string,
  sizeUnit: string,
  valueUnit: string,
  sizes: readonly number[],
  valueOf: (size: number) => number,
): Slope {
  const samples = sizes.map((size): Sample => ({ size, value: valueOf(size) }));
  return fitSlope(name, sizeUnit, valueUnit, samples);
}

/** Measures the heartbeats of a zone with stable membership, by zone size. */
function measureMembership(): Slope[] {
  const results = ZONE_SIZES.map((daemonsPerZone) =>
    measureBytes(
      { zones: 1, daemonsPerZone, links: LOSSY_LINKS, seed: 1 },
      MEMBERSHIP_DURATION_MS,
      undefined,
    )
  );
  const slope = (
    name: string,
    unit: string,
    valueOf: (result: typeof results[number]) => number,
  ) =>
    fitSlope(
      name,
      "daemons of the zone",
      unit,
      results.map((result) => ({
        size: result.daemons,
        value: valueOf(result),
      })),
    );
  return [
    slope(
      "heartbeats sent by a daemon",
      "bytes/s",
      (result) => result.meanSentBytesPerSecond,
    ),
    slope(
      "heartbeats received, most",
      "bytes/s",
      (result) => result.maxReceivedBytesPerSecond,
    ),
    slope(
      "heartbeats, processor time",
      "us/s",
      (result) => result.meanCpuUsPerSecond,
    ),
  ];
}

function measureConfig(): Slope[] {
  const inputOf = (teamCount: number) => ({
    teamCount,
    changesPerDay: CHANGES_PER_DAY,
    sampleCount: CHANGE_SAMPLES,
  });
  const layoutOf = (teamCount: number) => chooseLayout(teamCount, undefined);
  return [
    measure(
      "config change, bytes",
      "teams",
      "bytes",
      TEAM_COUNTS,
      (teams) => measureChangeCost(inputOf(teams), layoutOf(teams)).changeBytes,
    ),
    measure(
      "config at a daemon",
      "teams",
      "bytes/s",
      TEAM_COUNTS,
      (teams) =>
        measureChangeCost(inputOf(teams), layoutOf(teams)).daemonBytesPerS,
    ),
    measure(
      "config change, taken",
      "teams",
      "us",
      TEAM_COUNTS,
      (teams) => measureApplyMs(inputOf(teams), layoutOf(teams)) * US_PER_MS,
    ),
  ];
}

function createTeams(count: number): Map<string, Team> {
  const teams = Array.from({ length: count }, (_, index) =>
    teamSchema.parse({
      kind: "team",
      name: `team-${index}`,
      apiKeySha256: [index.toString(16).padStart(64, "0")],
    }));
  return new Map(teams.map((team) => [team.name, team]));
}

function slopeTable(slopes: readonly Slope[]) {
  return {
    title: "slopes",
    head: ["what", "unit", "samples (size: value)", "at size 0", "per unit"],
    rows: slopes.map((slope) => [
      slope.name,
      slope.valueUnit,
      slope.samples.map(({ size, value }) => `${size}: ${value.toPrecision(3)}`)
        .join(", ") + ` (${slope.sizeUnit})`,
      slope.base.toPrecision(3),
      slope.perUnit.toPrecision(3),
    ]),
  };
}
