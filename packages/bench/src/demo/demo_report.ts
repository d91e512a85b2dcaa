import { countRunsBy, findBoundBreaches } from "@coltsfootford/standins";
import type { Fleet } from "../harness/index.ts";
import type { DemoCounts } from "./demo_load.ts";

const MS_PER_SECOND = 1000;
const BYTES_PER_KB = 1000;

/** The load of one pool during the demo, as its targets recorded it. */
export interface PoolReport {
  readonly pool: string;
  readonly targets: number;
  readonly loadFactor: number;
  readonly admissions: number;
  /** Highest number of requests admitted by one target, divided by the mean. */
  readonly skew: number;
  /**
   * Mean, over all admissions, of the pool's mean load. Each load includes the
   * admitted request.
   */
  readonly meanLoad: number;
  /** Admissions above the load bound. */
  readonly breaches: number;
}

/** Results of a demo. */
export interface DemoReport {
  readonly counts: DemoCounts;
  readonly duplicateBookings: number;
  /** Fraction of repeated prompt tokens that were found in a cache. */
  readonly reuseRatio: number;
  readonly pools: readonly PoolReport[];
  /** Bytes per second that each daemon sent to and received from others. */
  readonly controlBytesPerSecond: readonly number[];
}

/** Cumulative control traffic of the daemons. */
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

/** Reads the bytes that each daemon has exchanged with other daemons. */
export async function sampleTraffic(fleet: Fleet): Promise<TrafficSample> {
  const dumps = await Promise.all(fleet.daemons.map((it) => it.dump()));
  const bytes = dumps.map((dump) => sumTraffic(dump as unknown as Dump));
  return { atMs: performance.now(), bytes };
}

/** Combines the clients' counts with the records of the stand-ins. */
export async function createReport(
  fleet: Fleet,
  counts: DemoCounts,
  before: TrafficSample,
): Promise<DemoReport> {
  const after = await sampleTraffic(fleet);
  const { runs, summary } = await fleet.targets.readRecords();
  const bookings = countRunsBy(runs, "idempotencyKey");
  const elapsedSeconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  return {
    counts,
    duplicateBookings: [...bookings.values()].filter((it) => it > 1).length,
    reuseRatio: summary.reusedTokens / Math.max(1, summary.returningTokens),
    pools: await reportPools(fleet),
    controlBytesPerSecond: after.bytes.map((bytes, index) =>
      (bytes - (before.bytes[index] ?? 0)) / elapsedSeconds
    ),
  };
}

/** Whether all responses were complete and no booking executed twice. */
export function hasDemoPassed(
  { counts, duplicateBookings }: DemoReport,
): boolean {
  return counts.completeChatRequests === counts.chatRequests &&
    counts.completeBookings === counts.bookings && duplicateBookings === 0;
}

/** Formats a report as a table. */
export function formatReport(name: string, report: DemoReport): string {
  const { counts, pools, controlBytesPerSecond } = report;
  const rows: [string, string][] = [
    [
      "chat answers whole and own",
      `${counts.completeChatRequests} of ${counts.chatRequests}`,
    ],
    [
      "bookings answered",
      `${counts.completeBookings} of ${counts.bookings}, ${counts.resends} resent`,
    ],
    ["bookings run twice", String(report.duplicateBookings)],
    [
      "prompt tokens reused of those that returned",
      `${(100 * report.reuseRatio).toFixed(1)} %`,
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
    const poolAdmissions = admissions.filter((admission) =>
      admission.pool === pool
    );
    const most = Math.max(
      0,
      ...targets.map(({ vm }) =>
        poolAdmissions.filter((it) => it.target === vm).length
      ),
    );
    return {
      pool,
      targets: targets.length,
      loadFactor,
      admissions: poolAdmissions.length,
      skew: most * targets.length / Math.max(1, poolAdmissions.length),
      meanLoad: poolAdmissions.reduce(
        (sum, it) => sum + it.poolTotal / Math.max(1, it.poolTargets),
        0,
      ) / Math.max(1, poolAdmissions.length),
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
  const [p50, p95] = [0.5, 0.95].map((fraction) =>
    (sorted[Math.floor(fraction * sorted.length)] ?? 0).toFixed(0)
  );
  return `${p50} and ${p95} ms`;
}

function formatTraffic(bytesPerSecond: readonly number[]): string {
  const mean = bytesPerSecond.reduce((sum, it) => sum + it, 0) /
    Math.max(1, bytesPerSecond.length);
  const [maxKb, meanKb] = [Math.max(...bytesPerSecond), mean]
    .map((bytes) => (bytes / BYTES_PER_KB).toFixed(2));
  return `${maxKb} and ${meanKb} KB/s`;
}
