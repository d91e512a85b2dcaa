import { FakeFleet, type FakeFleetOptions } from "./fake_fleet.ts";

const SETTLE_MS = 30_000;
const DETECTION_LIMIT_MS = 60_000;
const WATCH_STEP_MS = 50;

/** False deaths over a run in which nobody dies. */
export interface FalseDeathResult {
  readonly daemonHours: number;
  readonly falseDeaths: number;
  readonly falseSuspicions: number;
}

/** Times from a silent crash until every running daemon believes it. */
export interface DetectionResult {
  readonly crashes: number;
  readonly undetected: number;
  readonly timesMs: readonly number[];
}

/** Bytes that daemons send in a second, for one size of fleet. */
export interface BytesResult {
  readonly daemons: number;
  readonly meanSentBytesPerSecond: number;
  readonly maxSentBytesPerSecond: number;
  readonly maxReceivedBytesPerSecond: number;
  /** Processor time of a daemon in a second, the fake links included. */
  readonly meanCpuUsPerSecond: number;
}

/** What a measurement runs on. */
export type FleetSetup = FakeFleetOptions;

/** Counts deaths and suspicions that anyone believes, with short stalls. */
export function measureFalseDeaths(
  setup: FleetSetup,
  durationMs: number,
  stall: { readonly everyMs: number; readonly lengthMs: number },
): FalseDeathResult {
  const fleet = new FakeFleet(setup);
  fleet.advance(SETTLE_MS);
  const believed = { dead: new Set<string>(), suspect: new Set<string>() };
  let falseDeaths = 0;
  let falseSuspicions = 0;
  let stalledUntilMs = 0;
  let stalled: string | undefined;
  let turn = 0;
  let nextStallMs = fleet.timer.nowMs() + stall.everyMs;
  const endMs = fleet.timer.nowMs() + durationMs;
  while (fleet.timer.nowMs() < endMs) {
    fleet.advance(WATCH_STEP_MS);
    const nowMs = fleet.timer.nowMs();
    if (stalled !== undefined && nowMs >= stalledUntilMs) {
      fleet.resume(stalled);
      stalled = undefined;
    }
    if (stalled === undefined && nowMs >= nextStallMs) {
      stalled = fleet.daemons[turn++ % fleet.daemons.length]!.vm;
      fleet.pause(stalled);
      stalledUntilMs = nowMs + stall.lengthMs;
      nextStallMs = nowMs + stall.everyMs;
    }
    falseDeaths += countNew(fleet, "dead", believed.dead);
    falseSuspicions += countNew(fleet, "suspect", believed.suspect);
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
    const isBelieved = () =>
      fleet.running().every((daemon) =>
        daemon.membership.get(vm)?.state === "dead"
      );
    const timeMs = fleet.timeUntil(isBelieved, DETECTION_LIMIT_MS);
    if (timeMs === undefined) undetected += 1;
    else timesMs.push(timeMs);
    fleet.restart(vm);
    // An odd time keeps the crashes out of step with the heartbeats.
    fleet.advance(SETTLE_MS + i * 37);
  }
  return { crashes, undetected, timesMs: timesMs.sort((a, b) => a - b) };
}

/** Bytes of a settled fleet, with attachments that change at `attachEveryMs`. */
export function measureBytes(
  setup: FleetSetup,
  durationMs: number,
  attachEveryMs: number | undefined,
): BytesResult {
  const fleet = new FakeFleet(setup);
  fleet.advance(SETTLE_MS);
  fleet.resetBytes();
  const cpuBefore = process.cpuUsage();
  let value = 100;
  const stepMs = attachEveryMs ?? durationMs;
  for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
    for (const daemon of attachEveryMs ? fleet.daemons : []) {
      const nowMs = fleet.timer.nowMs();
      daemon.membership.attach("l", [12, value++], nowMs);
      fleet.flush(daemon);
    }
    fleet.advance(stepMs);
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  const seconds = durationMs / 1000;
  const sent = fleet.daemons.map((daemon) => daemon.sentBytes / seconds);
  const received = fleet.daemons.map((d) => d.receivedBytes / seconds);
  return {
    daemons: fleet.daemons.length,
    meanSentBytesPerSecond: sent.reduce((a, b) => a + b, 0) / sent.length,
    maxSentBytesPerSecond: Math.max(...sent),
    maxReceivedBytesPerSecond: Math.max(...received),
    meanCpuUsPerSecond: (user + system) / seconds / fleet.daemons.length,
  };
}

function countNew(
  fleet: FakeFleet,
  state: "dead" | "suspect",
  believed: Set<string>,
): number {
  const now = new Set<string>();
  for (const daemon of fleet.running()) {
    for (const member of daemon.membership.members()) {
      if (member.state === state) now.add(member.vm);
    }
  }
  let count = 0;
  for (const vm of now) if (!believed.has(vm)) count += 1;
  believed.clear();
  for (const vm of now) believed.add(vm);
  return count;
}
