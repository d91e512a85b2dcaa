/**
 * Measures with real processes how long every other daemon takes to detect a
 * failure, and the bandwidth of the control traffic. Run after a build:
 * `node packages/bench/dist/failures/main.js [--rounds N]`.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import {
  BARANDAS_PLAN,
  Fleet,
  type FleetDaemon,
  waitUntil,
} from "../harness/index.ts";
import { BARANDAS_NAMES, SteadyLoad } from "../shutdown/steady_load.ts";
import {
  readDump,
  waitForMemberState,
  waitUntilAllLive,
} from "./daemon_dump.ts";

const TRAFFIC_MS = 20_000;
const SETTLE_MS = 3000;

const { values } = parseArgs({
  options: { rounds: { type: "string", default: "5" } },
});
const rounds = Number(values.rounds);

function printTimes(name: string, timesMs: readonly number[]): void {
  const sorted = timesMs.map(Math.round).sort((a, b) => a - b);
  const p50Ms = sorted[Math.floor(sorted.length / 2)];
  const result = { rounds: sorted.length, p50Ms, maxMs: sorted.at(-1) };
  console.log(JSON.stringify({ name, ...result }));
}

async function measureMs(action: () => Promise<unknown>): Promise<number> {
  const startedMs = performance.now();
  await action();
  return performance.now() - startedMs;
}

function otherDaemons(fleet: Fleet, daemon: FleetDaemon): FleetDaemon[] {
  return fleet.daemons.filter((it) => it !== daemon);
}

async function measureDaemons(fleet: Fleet): Promise<void> {
  const times = {
    killed: [] as number[],
    paused: [] as number[],
    resumed: [] as number[],
    leaving: [] as number[],
  };
  for (let round = 0; round < rounds; round++) {
    const plan = BARANDAS_PLAN.daemons[round % BARANDAS_PLAN.daemons.length]!;
    const daemon = fleet.daemon(plan.vm);
    const others = otherDaemons(fleet, daemon);
    daemon.process.pause();
    times.paused.push(
      await measureMs(() => waitForMemberState(others, plan.vm, ["dead"])),
    );
    daemon.process.resume();
    times.resumed.push(await measureMs(() => waitUntilAllLive(fleet)));
    await sleep(SETTLE_MS);
    const killed = daemon.process.kill();
    times.killed.push(
      await measureMs(() => waitForMemberState(others, plan.vm, ["dead"])),
    );
    await killed;
    const replacement = await fleet.startDaemon(plan);
    await waitUntilAllLive(fleet);
    await sleep(SETTLE_MS);
    const ended = replacement.process.terminate();
    times.leaving.push(
      await measureMs(() =>
        waitForMemberState(others, plan.vm, ["leaving", "dead"])
      ),
    );
    await ended;
    await fleet.startDaemon(plan);
    await waitUntilAllLive(fleet);
  }
  printTimes("SIGSTOP to dead everywhere", times.paused);
  printTimes("SIGCONT to live everywhere", times.resumed);
  printTimes("SIGKILL to dead everywhere", times.killed);
  printTimes("SIGTERM to leaving everywhere", times.leaving);
}

async function measureCuts(fleet: Fleet): Promise<void> {
  const detectionTimesMs: number[] = [];
  const healTimesMs: number[] = [];
  for (let round = 0; round < rounds; round++) {
    const zones = BARANDAS_PLAN.availabilityZones;
    const zone = zones[round % zones.length]!;
    fleet.links!.cutZone(zone, { platform: true });
    const hasDetectedCut = async (daemon: FleetDaemon) => {
      const { unreachableZones } = (await readDump(daemon)).controllers
        .membership;
      const isInside = daemon.availabilityZone === zone;
      return unreachableZones.length === (isInside ? zones.length - 1 : 1);
    };
    detectionTimesMs.push(
      await measureMs(() =>
        waitUntil("every daemon to detect the partition", async () => {
          const detections = await Promise.all(
            fleet.daemons.map(hasDetectedCut),
          );
          return detections.every((it) => it);
        })
      ),
    );
    await sleep(SETTLE_MS);
    fleet.links!.healZone(zone);
    healTimesMs.push(await measureMs(() => waitUntilAllLive(fleet)));
    await sleep(SETTLE_MS);
  }
  printTimes("zone cut seen on both sides", detectionTimesMs);
  printTimes("heal seen everywhere", healTimesMs);
}

/** Bytes of peer connections and health probes since the daemons started. */
async function readTraffic(fleet: Fleet): Promise<Record<string, number>> {
  const sums: Record<string, number> = {};
  const add = (name: string, amount: number) => {
    sums[name] = (sums[name] ?? 0) + amount;
  };
  for (const daemon of fleet.daemons) {
    const dump = await daemon.dump() as {
      controllers: Record<string, {
        traffic?: {
          sentBytes: number;
          receivedBytes: number;
          sentByMethod: Record<string, { sizeBytes: number }>;
        };
      }>;
    };
    const peers = dump.controllers["peer-addresses"]!.traffic!;
    const probes = dump.controllers["target-health"]!.traffic!;
    add("peersSent", peers.sentBytes);
    add("probesSentAndReceived", probes.sentBytes + probes.receivedBytes);
    for (const [method, { sizeBytes }] of Object.entries(peers.sentByMethod)) {
      add(`sent ${method}`, sizeBytes);
    }
  }
  return sums;
}

async function measureTraffic(fleet: Fleet, name: string): Promise<void> {
  const before = await readTraffic(fleet);
  const durationMs = await measureMs(() => sleep(TRAFFIC_MS));
  const after = await readTraffic(fleet);
  const bytesPerSecond: Record<string, number> = {};
  for (const [key, sum] of Object.entries(after)) {
    const increase = sum - (before[key] ?? 0);
    const perDaemon = increase / fleet.daemons.length / (durationMs / 1000);
    bytesPerSecond[key] = Math.round(perDaemon);
  }
  console.log(JSON.stringify({ name, bytesPerSecond }));
}

const fleet = await Fleet.start(BARANDAS_PLAN);
try {
  await waitUntilAllLive(fleet);
  await sleep(SETTLE_MS);
  await measureTraffic(fleet, "mean of a daemon, no load");
  const load = new SteadyLoad(fleet, BARANDAS_NAMES);
  await sleep(SETTLE_MS);
  await measureTraffic(fleet, "mean of a daemon, 25 requests a second");
  await load.finish();
  await measureCuts(fleet);
  await measureDaemons(fleet);
} finally {
  await fleet.stop();
}
