import { RandomSource } from "../load/index.ts";
import {
  LARGE_MODEL_SERVICE,
  Workload,
  type WorkloadRequest,
} from "../load_bound/workload.ts";
import { EventHeap } from "../replay/index.ts";
import { CrashingFleet } from "./crashing_fleet.ts";
import { FleetNetwork, zoneOf } from "./fleet_network.ts";

/** Where the deadly part stands in its prompt. */
export type DeadlyPosition = "first" | "last-shared" | "subject";

/** What happens in a measurement. */
export interface CrashEvidenceOptions {
  readonly daemons: number;
  readonly targets: number;
  readonly seed: number;
  /** Share of the reports that have a deadly part, from 0 to 1. */
  readonly share: number;
  /** Deadly parts that come by turns. */
  readonly parts: number;
  readonly position: DeadlyPosition;
  /** Share of the daemons that are down although all others list them. */
  readonly downShare?: number;
  /** Daemons that restart in each second. */
  readonly restartsPerSecond?: number;
  /** Whether one zone is cut off before the first crash. */
  readonly cutsZone?: boolean;
  /** Events that a target sends before it crashes; 0 by default. */
  readonly eventsBeforeCrash?: number;
  /** Targets that crash in each second for reasons of their own. */
  readonly otherCrashesPerSecond?: number;
}

export interface CrashEvidenceResult {
  readonly crashes: number;
  /** Deadly requests of daemons in touch after the fleet could know. */
  readonly lateDeadly: number;
  /** Share of the sound requests that were rejected. */
  readonly soundRejectedShare: number;
  /** Messages between daemons, over the whole time. */
  readonly messagesPerDaemon: number;
}

/** The rules of the platform. */
const CRASHES_TO_LEARN = 5;
const CONTACT_MS = 4_000;
const SHEET_TARGETS = 98;
const WARM_UP_MS = 3_000;
const DURATION_MS = 22_000;
const CUT_FROM_MS = 2_000;
const CUT_UNTIL_MS = 12_000;
const RESTART_MS = 1_000;
const MS_PER_S = 1_000;

/**
 * Measures how many requests with a deadly part reach targets after the fleet
 * could know of it, where daemons learn from announcements alone.
 */
export function measureCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidenceResult {
  const random = new RandomSource(options.seed);
  const heap = new EventHeap();
  const network = new FleetNetwork(heap, random, options.daemons);
  const outOfTouchUntilMs = new Array<number>(options.daemons).fill(0);
  const arrivals: { atMs: number; daemon: number; isInTouch: boolean }[] = [];
  let learnedAtMs = Infinity;
  const fleet = new CrashingFleet(
    { ...options, eventsBeforeCrash: options.eventsBeforeCrash ?? 0 },
    heap,
    random,
    network,
    (daemon, atMs) => {
      if (fleet.crashes >= CRASHES_TO_LEARN * options.parts) {
        learnedAtMs = Math.min(learnedAtMs, atMs + CONTACT_MS);
      }
      const isInTouch = atMs >= outOfTouchUntilMs[daemon]!;
      arrivals.push({ atMs, daemon, isInTouch });
    },
  );
  const factor = options.targets / SHEET_TARGETS;
  const kinds = LARGE_MODEL_SERVICE.map((kind) => ({
    ...kind,
    requestsPerSecond: kind.requestsPerSecond * factor,
    subjects: Math.max(1, Math.round(kind.subjects * factor)),
  }));
  const workload = new Workload(kinds, [], random);
  const send = () => {
    const request = workload.draw(heap.nowMs);
    const isDeadly = heap.nowMs >= WARM_UP_MS &&
      request.kind.name === "report" && random.chance(options.share);
    fleet.send(
      random.index(options.daemons),
      isDeadly ? withDeadlyPart(request, options, random) : request,
    );
    heap.after(random.exponential(MS_PER_S / workload.requestsPerSecond), send);
  };
  heap.after(0, send);
  startFaults(options, heap, random, network, fleet, outOfTouchUntilMs);
  heap.runUntil(WARM_UP_MS + DURATION_MS);
  return {
    crashes: fleet.crashes,
    lateDeadly:
      arrivals.filter(({ atMs, isInTouch }) => isInTouch && atMs > learnedAtMs)
        .length,
    soundRejectedShare: fleet.soundRejected / fleet.soundSent,
    messagesPerDaemon: network.messages / options.daemons,
  };
}

function withDeadlyPart(
  request: WorkloadRequest,
  { parts, position }: CrashEvidenceOptions,
  random: RandomSource,
): WorkloadRequest {
  const deadly = { id: `deadly-${random.index(parts)}`, tokens: 100 };
  const own = request.prompt.parts.at(-1)!;
  const shared = request.prompt.parts.slice(0, -1);
  const prefix = {
    first: [deadly, ...shared],
    "last-shared": [...shared, deadly],
    subject: [...shared.slice(0, -1), deadly],
  }[position];
  return { ...request, prompt: { ...request.prompt, parts: [...prefix, own] } };
}

function startFaults(
  options: CrashEvidenceOptions,
  heap: EventHeap,
  random: RandomSource,
  network: FleetNetwork,
  fleet: CrashingFleet,
  outOfTouchUntilMs: number[],
): void {
  const { daemons, targets } = options;
  const down = Math.floor(daemons * (options.downShare ?? 0));
  while (network.down.size < down) network.down.add(random.index(daemons));
  if (options.cutsZone) {
    heap.at(CUT_FROM_MS, () => {
      network.cutZone = 0;
    });
    heap.at(CUT_UNTIL_MS, () => {
      network.cutZone = undefined;
      for (let index = 0; index < daemons; index++) {
        if (zoneOf(index) === 0) fleet.catchUp(index);
      }
    });
    for (let index = 0; index < daemons; index++) {
      if (zoneOf(index) === 0) {
        outOfTouchUntilMs[index] = CUT_UNTIL_MS + CONTACT_MS;
      }
    }
  }
  const repeat = (perSecond: number, action: () => void) => {
    if (perSecond === 0) return;
    const next = () => {
      action();
      heap.after(random.exponential(MS_PER_S / perSecond), next);
    };
    heap.after(random.exponential(MS_PER_S / perSecond), next);
  };
  repeat(options.otherCrashesPerSecond ?? 0, () => {
    fleet.crashTarget(random.index(targets));
  });
  repeat(options.restartsPerSecond ?? 0, () => {
    const index = random.index(daemons);
    if (network.down.has(index)) return;
    network.down.add(index);
    outOfTouchUntilMs[index] = heap.nowMs + RESTART_MS + CONTACT_MS;
    heap.after(RESTART_MS, () => {
      network.down.delete(index);
      fleet.daemons[index]!.restart();
      fleet.catchUp(index);
    });
  });
}
