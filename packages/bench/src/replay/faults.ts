import { z } from "zod";
import type { Trace } from "../load/index.ts";
import { RandomSource } from "../load/index.ts";

/** A fault or a membership change of the fleet, at a virtual time. */
export const faultSchema = z.discriminatedUnion("kind", [
  /** A target leaves gracefully: it gets no new requests, drains and stops. */
  z.strictObject({
    kind: z.literal("target-leave"),
    atMs: z.number(),
    target: z.string(),
  }),
  /** A new target joins with an empty cache. */
  z.strictObject({
    kind: z.literal("target-join"),
    atMs: z.number(),
    target: z.string(),
    availabilityZone: z.string(),
  }),
  /** A target crashes and restarts with an empty cache. */
  z.strictObject({
    kind: z.literal("target-restart"),
    atMs: z.number(),
    target: z.string(),
    downMs: z.number(),
  }),
  /** Daemons see a target as down for a while, although it stays up. */
  z.strictObject({
    kind: z.literal("target-blip"),
    atMs: z.number(),
    target: z.string(),
    downMs: z.number(),
  }),
  /** A daemon's process is killed; its connections close. */
  z.strictObject({
    kind: z.literal("daemon-kill"),
    atMs: z.number(),
    daemon: z.string(),
  }),
  /**
   * A daemon's VM vanishes: no connection closes, and its requests continue at
   * the targets.
   */
  z.strictObject({
    kind: z.literal("daemon-vanish"),
    atMs: z.number(),
    daemon: z.string(),
  }),
  z.strictObject({
    kind: z.literal("daemon-join"),
    atMs: z.number(),
    daemon: z.string(),
    availabilityZone: z.string(),
  }),
  /** A daemon is paused and resumed. */
  z.strictObject({
    kind: z.literal("daemon-pause"),
    atMs: z.number(),
    daemon: z.string(),
    durationMs: z.number(),
  }),
  /** A zone is cut off from all other zones, then the cut heals. */
  z.strictObject({
    kind: z.literal("zone-cut"),
    atMs: z.number(),
    availabilityZone: z.string(),
    durationMs: z.number(),
  }),
]);

export type Fault = z.infer<typeof faultSchema>;

/** Names of the initial daemons and targets, which alternate over the zones. */
export function daemonName(index: number): string {
  return `d${index}`;
}
export function targetName(index: number): string {
  return `t${index}`;
}

/** Rates of target faults, and which daemon and zone faults occur. */
export interface FaultPlanOptions {
  readonly seed: number;
  readonly targets: number;
  readonly daemons: number;
  readonly zones: readonly string[];
  readonly restartsPerHour: number;
  readonly replacementsPerHour: number;
  readonly blipsPerHour: number;
  /** Number of targets that account for half of the restarts. */
  readonly flappingTargets: number;
  readonly hasDaemonFaults: boolean;
  readonly hasZoneCut: boolean;
}

const HOUR_MS = 3_600_000;
const MIN_DOWN_MS = 10_000;
const MAX_DOWN_MS = 60_000;
const REPLACEMENT_DELAY_MS = 45_000;
const PAUSE_MS = 4_000;
const CUT_MS = 20_000;

/** Draws random faults over the duration of the trace, in order of time. */
export function planFaults(trace: Trace, options: FaultPlanOptions): Fault[] {
  const random = new RandomSource(options.seed);
  const faults: Fault[] = [];
  const names = Array.from(
    { length: options.targets },
    (_, i) => targetName(i),
  );
  const durationMs = trace.head.durationMs;
  const drawTimes = (perHour: number) => {
    const count = Math.round(perHour * durationMs / HOUR_MS);
    return Array.from(
      { length: count },
      () => random.between(0.05, 0.95) * durationMs,
    );
  };
  drawTimes(options.restartsPerHour).forEach((atMs, index) => {
    const isFlap = index % 2 === 0 && options.flappingTargets > 0;
    const target = names[
      random.index(
        isFlap ? options.flappingTargets : names.length,
      )
    ]!;
    const downMs = random.between(MIN_DOWN_MS, MAX_DOWN_MS);
    faults.push({ kind: "target-restart", atMs, target, downMs });
  });
  drawTimes(options.replacementsPerHour).forEach((atMs, index) => {
    const target = names[
      options.flappingTargets + index % (names.length - options.flappingTargets)
    ]!;
    const availabilityZone = random.pick(options.zones);
    faults.push({ kind: "target-leave", atMs, target });
    faults.push({
      kind: "target-join",
      atMs: atMs + REPLACEMENT_DELAY_MS,
      target: `${target}-${index}`,
      availabilityZone,
    });
  });
  for (const atMs of drawTimes(options.blipsPerHour)) {
    const target = random.pick(names);
    faults.push({ kind: "target-blip", atMs, target, downMs: 3_000 });
  }
  if (options.hasDaemonFaults) {
    faults.push(...planDaemonFaults(durationMs, options));
  }
  if (options.hasZoneCut) {
    faults.push({
      kind: "zone-cut",
      atMs: 0.3 * durationMs,
      availabilityZone: options.zones.at(-1)!,
      durationMs: CUT_MS,
    });
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

function planDaemonFaults(
  durationMs: number,
  options: FaultPlanOptions,
): Fault[] {
  const zoneOf = (index: number) =>
    options.zones[index % options.zones.length]!;
  return [
    {
      kind: "daemon-pause",
      atMs: 0.1 * durationMs,
      daemon: daemonName(0),
      durationMs: PAUSE_MS,
    },
    { kind: "daemon-kill", atMs: 0.2 * durationMs, daemon: daemonName(1) },
    {
      kind: "daemon-join",
      atMs: 0.2 * durationMs + 30_000,
      daemon: "d1-new",
      availabilityZone: zoneOf(1),
    },
    { kind: "daemon-vanish", atMs: 0.4 * durationMs, daemon: daemonName(2) },
    {
      kind: "daemon-join",
      atMs: 0.4 * durationMs + 30_000,
      daemon: "d2-new",
      availabilityZone: zoneOf(2),
    },
    {
      kind: "daemon-pause",
      atMs: 0.65 * durationMs,
      daemon: daemonName(3),
      durationMs: PAUSE_MS,
    },
    { kind: "daemon-kill", atMs: 0.7 * durationMs, daemon: daemonName(0) },
    {
      kind: "daemon-join",
      atMs: 0.7 * durationMs + 30_000,
      daemon: "d0-new",
      availabilityZone: zoneOf(0),
    },
  ];
}
