/**
 * Measures one daemon on one core and compares it, in the same run, with a
 * minimal hono and undici pass-through proxy and with direct requests to the
 * target.
 */
import { fileURLToPath } from "node:url";
import { startKeyValueService, startVmList } from "@coltsfootford/standins";
import { publishObjects } from "../config/publish_objects.ts";
import {
  FleetDaemon,
  killAllProcesses,
  ManagedProcess,
  type ObjectInput,
  SettingsFiles,
} from "../harness/index.ts";
import { type LoadMeasurement, type LoadPlan, runLoad } from "./load.ts";

const HOST = "127.0.0.1";
const ZONE = "zone-a";
const TARGETS = 3;
const BUSY_CLIENTS = 64;
const CALM_CLIENTS = 4;
const CALM_PAUSE_MS = 20;
const WARM_UP_MS = 1_000;
const DURATION_MS = 4_000;

const OBJECTS: readonly ObjectInput[] = [
  { kind: "team", name: "lots" },
  { kind: "model", name: "writer", version: "1" },
  {
    kind: "pool",
    name: "writers",
    model: "writer",
    loadFactor: 10,
    maxConcurrentPerTarget: 1_000,
  },
  {
    kind: "route",
    name: "chat",
    protocol: "chat",
    pool: "writers",
    idempotent: true,
  },
];

async function startScript(name: string, args: string[]): Promise<string> {
  const script = fileURLToPath(new URL(`./${name}.js`, import.meta.url));
  const process = ManagedProcess.start(name, script, args);
  const line = await process.waitForLine(
    "its port",
    (candidate) => candidate["event"] === "ready",
  );
  return `http://${HOST}:${line["port"]}`;
}

/** Starts a daemon in front of `targets` and returns its URL. */
async function startDaemon(
  targets: readonly string[],
  files: SettingsFiles,
): Promise<string> {
  const platform = await startKeyValueService({});
  const platformUrl = `http://${HOST}:${platform.port}`;
  await publishObjects(platformUrl, OBJECTS, 1);
  const vmList = await startVmList({
    vms: targets.map((url, index) => ({
      name: `writer-${index + 1}`,
      role: "target",
      availabilityZone: ZONE,
      pool: "writers",
      host: HOST,
      port: Number(new URL(url).port),
      state: "live",
    })),
  });
  const plan = { vm: "entry-1", availabilityZone: ZONE };
  const daemon = await FleetDaemon.start(plan, {
    ...plan,
    logLevel: "info",
    platform: { endpoints: [platformUrl] },
    vmList: { url: `http://${HOST}:${vmList.port}/v1/vms` },
    peerKeys: [{ id: "bench", secretHex: "5a".repeat(32) }],
  }, files);
  await daemon.waitUntilReady();
  return daemon.url;
}

async function measure(plan: LoadPlan): Promise<LoadMeasurement> {
  await runLoad({ ...plan, durationMs: WARM_UP_MS });
  return await runLoad(plan);
}

async function main(): Promise<void> {
  const files = new SettingsFiles();
  const targets: string[] = [];
  for (let index = 0; index < TARGETS; index++) {
    targets.push(await startScript("fast_target", []));
  }
  const direct = targets[0]!;
  const contenders = {
    direct,
    passThrough: await startScript("bare_proxy", [direct]),
    daemon: await startDaemon(targets, files),
  };
  const rows: Record<string, unknown>[] = [];
  for (const isStream of [false, true]) {
    for (const [name, url] of Object.entries(contenders)) {
      const shared = { url, isStream, durationMs: DURATION_MS };
      const busy = await measure({
        ...shared,
        clients: BUSY_CLIENTS,
        pauseMs: 0,
      });
      const calm = await measure({
        ...shared,
        clients: CALM_CLIENTS,
        pauseMs: CALM_PAUSE_MS,
      });
      rows.push({
        contender: name,
        answers: isStream ? "streams" : "whole",
        requestsPerSecond: busy.requestsPerSecond,
        calmFirstByteP50Ms: calm.firstByteP50Ms,
        calmFirstByteP95Ms: calm.firstByteP95Ms,
        failed: busy.failed + calm.failed,
      });
    }
  }
  console.table(rows);
  await killAllProcesses();
  files.remove();
}

await main();
process.exit(0);
