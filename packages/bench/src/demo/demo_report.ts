import { countRunsBy, findBoundBreaches } from "@coltsfootford/standins";
import type { Fleet } from "../harness/index.ts";
import type { DemoCounts } from "./demo_load.ts";

const MS_PER_SECOND = 1000;
const BYTES_PER_KB = 1000;

/** The load of one pool over the run, from its targets' own counts. */
export interface PoolReport {
  readonly pool: string;
  readonly targets: number;
  readonly loadFactor: number;
  readonly admissions: number;
  /** Most requests that one target was given, over the mean. */
  readonly skew: number;
  /** Mean over the admissions of the pool's mean load, each included. */
  readonly meanLoad: number;
  /** Admissions above the load bound. */
  readonly breaches: number;
}

/** What a demo shows. */
export interface DemoReport {
  readonly counts: DemoCounts;
  readonly bookingsRunTwice: number;
  /** Share of returning prompt tokens that were found cached. */
  readonly reuse: number;
  readonly pools: readonly PoolReport[];
  /** Bytes that each daemon sent and received to and from others, a second. */
  readonly controlBytesPerSecond: readonly number[];
}

/** Control traffic of the daemons so far. */
export interface TrafficSample {
  readonly atMs: number;
  readonly bytes: readonly number[];
}

interface Dump {
  readonly controllers: Record<string, {
    readonly traffic?: {
      readonly sentBytes: number;
      readonly receivedBytes: number;
    };
  }>;
  readonly objects: {
    readonly pools: readonly { name: string; loadFactor: number }[];
  };
}

/** Reads how much each daemon has exchanged with other daemons. */
export async function sampleTraffic(fleet: Fleet): Promise<TrafficSample> {
  const dumps = await Promise.all(fleet.daemons.map((it) => it.dump()));
  const bytes = dumps.map((dump) => sumTraffic(dump as unknown as Dump));
  return { atMs: performance.now(), bytes };
}

/** Puts the callers' counts and the stand-ins' truth together. */
export async function createReport(
  fleet: Fleet,
  counts: DemoCounts,
  before: TrafficSample,
): Promise<DemoReport> {
  const after = await sampleTraffic(fleet);
  const { runs, summary } = await fleet.targets.readTruth();
  const bookings = countRunsBy(runs, "idempotencyKey");
  const elapsedSeconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  return {
    counts,
    bookingsRunTwice: [...bookings.values()].filter((it) => it > 1).length,
    reuse: summary.reusedTokens / Math.max(1, summary.returningTokens),
    pools: await reportPools(fleet),
    controlBytesPerSecond: after.bytes.map((bytes, index) =>
      (bytes - (before.bytes[index] ?? 0)) / elapsedSeconds
    ),
  };
}

/** Whether the run kept what the demo promises. */
export function isDemoGood({ counts, bookingsRunTwice }: DemoReport): boolean {
  return counts.chatsWhole === counts.chats &&
    counts.bookingsWhole === counts.bookings && bookingsRunTwice === 0;
}

/** Writes a report as a table. */
export function formatReport(name: string, report: DemoReport): string {
  const { counts, pools, controlBytesPerSecond } = report;
  const rows: [string, string][] = [
    ["chat answers whole and own", `${counts.chatsWhole} of ${counts.chats}`],
    [
      "bookings answered",
      `${counts.bookingsWhole} of ${counts.bookings}, ${counts.resends} resent`,
    ],
    ["bookings run twice", String(report.bookingsRunTwice)],
    [
      "prompt tokens reused of those that returned",
      `${(100 * report.reuse).toFixed(1)} %`,
    ],
    ["first byte of a stream, p50 and p95", formatTimes(counts.firstByteMs)],
    ...pools.flatMap((pool): [string, string][] => [
      [
        `skew of ${pool.pool} (most over mean)`,
        `${pool.skew.toFixed(2)} over ${pool.targets} targets`,
      ],
      [`mean load of ${pool.pool} at admissions`, pool.meanLoad.toFixed(2)],
      [
        `admissions of ${pool.pool} above the bound`,
        `${pool.breaches} of ${pool.admissions}, factor ${pool.loadFactor}`,
      ],
    ]),
    [
      "control traffic of a daemon, most and mean",
      formatTraffic(controlBytesPerSecond),
    ],
  ];
  const width = Math.max(...rows.map(([label]) => label.length));
  return [
    name,
    ...rows.map(([label, value]) => `  ${label.padEnd(width)}  ${value}`),
    ...counts.failures.map((failure) => `  failed: ${failure}`),
  ].join("\n");
}

async function reportPools(fleet: Fleet): Promise<PoolReport[]> {
  const admissions = await fleet.targets.read("admissions");
  const dump = await fleet.daemons[0]?.dump() as unknown as Dump;
  return fleet.plan.pools.map(({ pool, targets }) => {
    const loadFactor = dump.objects.pools.find((it) => it.name === pool)
      ?.loadFactor ?? 0;
    const own = admissions.filter((admission) => admission.pool === pool);
    const most = Math.max(
      0,
      ...targets.map(({ vm }) => own.filter((it) => it.target === vm).length),
    );
    return {
      pool,
      targets: targets.length,
      loadFactor,
      admissions: own.length,
      skew: most * targets.length / Math.max(1, own.length),
      meanLoad: own.reduce(
        (sum, it) => sum + it.poolTotal / Math.max(1, it.poolTargets),
        0,
      ) / Math.max(1, own.length),
      breaches: findBoundBreaches(admissions, pool, loadFactor).length,
    };
  });
}

function sumTraffic(dump: Dump): number {
  let bytes = 0;
  for (const { traffic } of Object.values(dump.controllers)) {
    if (traffic) bytes += traffic.sentBytes + traffic.receivedBytes;
  }
  return bytes;
}

function formatTimes(timesMs: readonly number[]): string {
  const sorted = timesMs.toSorted((a, b) => a - b);
  const [p50, p95] = [0.5, 0.95].map((part) =>
    (sorted[Math.floor(part * sorted.length)] ?? 0).toFixed(0)
  );
  return `${p50} and ${p95} ms`;
}

function formatTraffic(bytesPerSecond: readonly number[]): string {
  const mean = bytesPerSecond.reduce((sum, it) => sum + it, 0) /
    Math.max(1, bytesPerSecond.length);
  const [most, middle] = [Math.max(...bytesPerSecond), mean]
    .map((bytes) => (bytes / BYTES_PER_KB).toFixed(2));
  return `${most} and ${middle} KB/s`;
}
