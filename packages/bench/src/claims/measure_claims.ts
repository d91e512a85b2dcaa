import { setTimeout as sleep } from "node:timers/promises";
import { DEFAULT_CLAIM_SETTINGS, findClaimLocation } from "@coltsfootford/core";
import { ClaimController, Metrics } from "@coltsfootford/daemon";
import {
  EtcdGatewayClient,
  SystemTimerService,
} from "@coltsfootford/key-value";
import { type StandIns, startStandIns } from "../harness/index.ts";
import { SettingsFiles } from "../harness/settings_files.ts";

const TICK_MS = 5;
/** Execution time of a booking at its service. */
const EXECUTION_MS = 10;
const RESPONSE = {
  status: 200,
  contentType: "application/json",
  body: JSON.stringify({ booking: "x".repeat(200) }),
};
const SUMMARY = { status: 200, bodyDigest: "0".repeat(64), sizeBytes: 220 };

/** Cost of the claims at one rate of bookings. */
export interface ClaimMeasurement {
  readonly daemons: number;
  readonly bookingsPerSecond: number;
  readonly bookings: number;
  /** Bookings whose claim allowed their dispatch. */
  readonly let: number;
  readonly platformWrites: number;
  readonly peakWritesPerSecond: number;
  readonly writesPerBooking: number;
  /** Time from the arrival of a booking until it may be dispatched. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** A daemon's claim controller with its own connection to the platform. */
interface Claimer {
  readonly controller: ClaimController;
  readonly keyValue: EtcdGatewayClient;
}

/**
 * Claims and finishes bookings at a rate through the claim controllers of
 * several daemons, against a key-value service in a separate process. There are
 * no targets and permits, so that only claims are measured.
 */
export async function measureClaims(
  daemons: number,
  bookingsPerSecond: number,
  durationMs: number,
): Promise<ClaimMeasurement> {
  const files = new SettingsFiles();
  const settings = { platforms: [{ name: "platform" }] };
  const platform = await startStandIns("platform", settings, files);
  const claimers = Array.from(
    { length: daemons },
    (_, index) => createClaimer(platform, `entry-${index + 1}`),
  );
  try {
    const claimDurationsMs: number[] = [];
    const book = async (index: number) => {
      const { controller } = claimers[index % daemons]!;
      const startedMs = performance.now();
      const callId = `call-${index}`;
      const digest = index.toString(16).padStart(64, "0");
      const decision = await controller.claim({
        callId,
        location: findClaimLocation(callId, digest, 0)._unsafeUnwrap(),
        bodyDigest: digest,
        deadlineAtMs: Infinity,
      });
      if (decision.kind !== "dispatch") return;
      claimDurationsMs.push(performance.now() - startedMs);
      await sleep(EXECUTION_MS);
      const result = {
        kind: "done",
        summary: SUMMARY,
        response: RESPONSE,
      } as const;
      await controller.finish(callId, result);
    };
    const bookings = await sendOpenLoop(bookingsPerSecond, durationMs, book);
    const { standIns } = await platform.client.readRecords();
    const calls = standIns["platform"]?.["calls"] as PlatformCalls;
    claimDurationsMs.sort((a, b) => a - b);
    return {
      daemons,
      bookingsPerSecond,
      bookings,
      let: claimDurationsMs.length,
      platformWrites: calls.totals.write,
      peakWritesPerSecond: calls.peaksPerSecond.write,
      writesPerBooking: calls.totals.write / bookings,
      p50Ms: percentile(claimDurationsMs, 0.5),
      p99Ms: percentile(claimDurationsMs, 0.99),
    };
  } finally {
    for (const { controller, keyValue } of claimers) {
      await controller.stop();
      await keyValue.close();
    }
    await platform.process.kill();
    files.remove();
  }
}

interface PlatformCalls {
  readonly totals: { readonly write: number };
  readonly peaksPerSecond: { readonly write: number };
}

function createClaimer(platform: StandIns, vm: string): Claimer {
  const timer = new SystemTimerService();
  const keyValue = new EtcdGatewayClient({
    endpoints: [`http://127.0.0.1:${platform.ports["platform"]}`],
    timer,
    random: Math.random,
  });
  const controller = new ClaimController({
    vm,
    incarnation: "measured",
    keyValue,
    timer,
    logger: { event: () => undefined },
    metrics: new Metrics(),
    settings: DEFAULT_CLAIM_SETTINGS,
  });
  return { controller, keyValue };
}

/** Starts bookings at a fixed rate, independent of earlier bookings. */
async function sendOpenLoop(
  perSecond: number,
  durationMs: number,
  send: (index: number) => Promise<void>,
): Promise<number> {
  const startedMs = performance.now();
  const running: Promise<void>[] = [];
  for (;;) {
    const elapsedMs = performance.now() - startedMs;
    const due = Math.min(elapsedMs, durationMs) * perSecond / 1_000;
    while (running.length < due) running.push(send(running.length));
    if (elapsedMs >= durationMs) break;
    await sleep(TICK_MS);
  }
  await Promise.all(running);
  return running.length;
}

function percentile(sorted: readonly number[], fraction: number): number {
  return Math.round(sorted[Math.floor(sorted.length * fraction)] ?? 0);
}
