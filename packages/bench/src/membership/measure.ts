import { FakeFleet, type FakeFleetOptions } from "./fake_fleet.ts";

const SETTLE_MS = 30_000;
const DETECTION_LIMIT_MS = 60_000;
const OBSERVATION_STEP_MS = 50;

/** False deaths and suspicions in a period without crashes. */
export interface FalseDeathResult {
  readonly daemonHours: number;
  readonly falseDeaths: number;
  readonly falseSuspicions: number;
}

/** Times from a silent crash until every running daemon has detected it. */
export interface DetectionResult {
  readonly crashes: number;
  readonly undetected: number;
  readonly timesMs: readonly number[];
}

/** Traffic and CPU time per daemon, for one fleet size. */
export interface BytesResult {
  readonly daemons: number;
  readonly meanSentBytesPerSecond: number;
  readonly maxSentBytesPerSecond: number;
  readonly maxReceivedBytesPerSecond: number;
  /** CPU time per daemon and second, including the fake links. */
  readonly meanCpuUsPerSecond: number;
}

/** The fleet that is measured. */
export type FleetSetup = FakeFleetOptions;

/**
 * Counts the false deaths and suspicions that any running daemon holds, while
 * one daemon after another stalls for `stall.lengthMs`.
 */
export function measureFalseDeaths(
  setup: FleetSetup,
  durationMs: number,
  stall: { readonly everyMs: number; readonly lengthMs: number },
): FalseDeathResult {
  const fleet = new FakeFleet(setup);
  fleet.advance(SETTLE_MS);
  const previous = { dead: new Set<string>(), suspect: new Set<string>() };
  let falseDeaths = 0;
  let falseSuspicions = 0;
  let stalledUntilMs = 0;
  let stalledVm: string | undefined;
  let stallCount = 0;
  let nextStallMs = fleet.timer.nowMs() + stall.everyMs;
  const endMs = fleet.timer.nowMs() + durationMs;
  while (fleet.timer.nowMs() < endMs) {
    fleet.advance(OBSERVATION_STEP_MS);
    const nowMs = fleet.timer.nowMs();
    if (stalledVm !== undefined && nowMs >= stalledUntilMs) {
      fleet.resume(stalledVm);
      stalledVm = undefined;
    }
    if (stalledVm === undefined && nowMs >= nextStallMs) {
      stalledVm = fleet.daemons[stallCount++ % fleet.daemons.length]!.vm;
      fleet.pause(stalledVm);
      stalledUntilMs = nowMs + stall.lengthMs;
      nextStallMs = nowMs + stall.everyMs;
    }
    falseDeaths += countNewVms(fleet, "dead", previous.dead);
    falseSuspicions += countNewVms(fleet, "suspect", previous.suspect);
  }
  const daemonHours = fleet.daemons.length * durationMs / 3_600_000;
  return { daemonHours, falseDeaths, falseSuspicions };
}

/** Crashes one daemon after another, without closing its connections. */
export function measureDetection(
  setup: FleetSetup,
  crashes: number,
  isSilent: boolean,
): DetectionResult {
  const fleet = new FakeFleet(setup);
  fleet.advance(SETTLE_MS);
  const timesMs: number[] = [];
  let undetected = 0;
  for (let i = 0; i < crashes; i++) {
    const { vm } = fleet.daemons[i % fleet.daemons.length]!;
    fleet.kill(vm, isSilent);
    const isDetected = () =>
      fleet.running().every((daemon) =>
        daemon.membership.get(vm)?.state === "dead"
      );
    const timeMs = fleet.timeUntil(isDetected, DETECTION_LIMIT_MS);
    if (timeMs === undefined) undetected += 1;
    else timesMs.push(timeMs);
    fleet.restart(vm);
    // The growing offset keeps the crashes from aligning with the heartbeats.
    fleet.advance(SETTLE_MS + i * 37);
  }
  return { crashes, undetected, timesMs: timesMs.sort((a, b) => a - b) };
}

/**
 * Measures the traffic of a settled fleet. The attachments change every
 * `attachmentPeriodMs`, or never if it is undefined.
 */
export function measureBytes(
  setup: FleetSetup,
  durationMs: number,
  attachmentPeriodMs: number | undefined,
): BytesResult {
  const fleet = new FakeFleet(setup);
  fleet.advance(SETTLE_MS);
  fleet.resetBytes();
  const cpuBefore = process.cpuUsage();
  let value = 100;
  const stepMs = attachmentPeriodMs ?? durationMs;
  for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
    for (const daemon of attachmentPeriodMs ? fleet.daemons : []) {
      const nowMs = fleet.timer.nowMs();
      daemon.membership.attach("l", [12, value++], nowMs);
      fleet.flush(daemon);
    }
    fleet.advance(stepMs);
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  const seconds = durationMs / 1000;
  const sent = fleet.daemons.map((daemon) => daemon.sentBytes / seconds);
  const received = fleet.daemons.map((daemon) =>
    daemon.receivedBytes / seconds
  );
  return {
    daemons: fleet.daemons.length,
    meanSentBytesPerSecond: sent.reduce((a, b) => a + b, 0) / sent.length,
    maxSentBytesPerSecond: Math.max(...sent),
    maxReceivedBytesPerSecond: Math.max(...received),
    meanCpuUsPerSecond: (user + system) / seconds / fleet.daemons.length,
  };
}

/** Counts the VMs that entered the state since the last call. */
function countNewVms(
  fleet: FakeFleet,
  state: "dead" | "suspect",
  previous: Set<string>,
): number {
  const current = new Set<string>();
  for (const daemon of fleet.running()) {
    for (const member of daemon.membership.members()) {
      if (member.state === state) current.add(member.vm);
    }
  }
  let count = 0;
  for (const vm of current) if (!previous.has(vm)) count += 1;
  previous.clear();
  for (const vm of current) previous.add(vm);
  return count;
}
