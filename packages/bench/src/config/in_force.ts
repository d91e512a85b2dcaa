import { setTimeout as sleep } from "node:timers/promises";
import { CONFIG_HEAD_KEY } from "@coltsfootford/core";
import { Fleet, type FleetDaemon, type FleetPlan } from "../harness/index.ts";
import { readConfig } from "./config_fleet.ts";
import { publishObjects } from "./publish_objects.ts";

const POLL_INTERVAL_MS = 5;
/** Maximum wait for one publication. */
const IN_FORCE_TIMEOUT_MS = 60_000;

/** A fault that delays a publication on its path to the daemons. */
export interface FaultScenario {
  readonly name: string;
  /** Starts the fault; returns the VMs whose daemons are paused until `end`. */
  begin(fleet: Fleet): Promise<readonly string[]>;
  end(fleet: Fleet): Promise<void>;
}

/** Times until a publication was in force in every daemon that is not paused. */
export interface InForceTimes {
  /** The name of the fault scenario. */
  readonly hindrance: string;
  readonly publications: number;
  readonly medianMs: number;
  readonly maxMs: number;
}

/** Measures several publications under a fault scenario. */
export async function measureInForce(
  plan: FleetPlan,
  scenario: FaultScenario,
  publications: number,
): Promise<InForceTimes> {
  // The harness waits until its own publication, revision 1, is in force.
  const fleet = await Fleet.start(plan);
  try {
    const timesMs: number[] = [];
    for (let index = 0; index < publications; index++) {
      const revision = index + 2;
      const pausedVms = await scenario.begin(fleet);
      const startMs = performance.now();
      await publishWeight(fleet, revision);
      await waitInForce(fleet, revision, pausedVms);
      timesMs.push(performance.now() - startMs);
      await scenario.end(fleet);
    }
    timesMs.sort((a, b) => a - b);
    return {
      hindrance: scenario.name,
      publications,
      medianMs: Math.round(timesMs[Math.floor(publications / 2)] ?? 0),
      maxMs: Math.round(timesMs.at(-1) ?? 0),
    };
  } finally {
    await fleet.stop();
  }
}

async function publishWeight(fleet: Fleet, revision: number): Promise<void> {
  const team = {
    kind: "team",
    name: "joiners",
    shareWeight: revision,
  } as const;
  await publishObjects(fleet.platformUrl, [team], revision);
}

/** Waits until the revision is in force in every daemon that is not paused. */
async function waitInForce(
  fleet: Fleet,
  revision: number,
  pausedVms: readonly string[],
): Promise<void> {
  const deadlineMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  let waiting = fleet.daemons.filter((daemon) =>
    !pausedVms.includes(daemon.vm)
  );
  while (waiting.length > 0) {
    if (performance.now() > deadlineMs) {
      const names = waiting.map((daemon) => daemon.vm).join(", ");
      throw new Error(`revision ${revision} is not in force at ${names}`);
    }
    const dumps = await Promise.all(waiting.map(readConfig));
    waiting = waiting.filter((_daemon, index) =>
      (dumps[index]?.revision ?? 0) < revision
    );
    if (waiting.length > 0) await sleep(POLL_INTERVAL_MS);
  }
}

/** Creates a scenario that sets faults of the key-value service. */
function createPlatformFaultScenario(
  name: string,
  faults: object,
): FaultScenario {
  return {
    name,
    begin: async (fleet) => {
      await fleet.platform.setFaults("platform", faults);
      return [];
    },
    end: () => Promise.resolve(),
  };
}

/** Finds the daemon that relays a publication to the most daemons. */
async function findBusiestRelay(fleet: Fleet): Promise<FleetDaemon> {
  const dumps = await Promise.all(fleet.daemons.map(readConfig));
  const counts = dumps.map((dump) => dump.children.length);
  const daemon = fleet.daemons[counts.indexOf(Math.max(...counts))];
  if (!daemon) throw new Error("the plan has no daemons");
  return daemon;
}

/** The scenarios to measure; the first one has no fault. */
export const FAULT_SCENARIOS: readonly FaultScenario[] = [
  {
    name: "none",
    begin: () => Promise.resolve([]),
    end: () => Promise.resolve(),
  },
  createPlatformFaultScenario("answer to the publication lost", {
    loseWriteAnswers: 1,
    loseKeyPrefix: CONFIG_HEAD_KEY,
  }),
  createPlatformFaultScenario("platform answers after 500 ms", { slowMs: 500 }),
  createPlatformFaultScenario("watches deliver nothing", {
    stallWatches: true,
  }),
  {
    name: "first relay of a zone stopped (SIGSTOP)",
    begin: async (fleet) => {
      const daemon = await findBusiestRelay(fleet);
      daemon.process.pause();
      return [daemon.vm];
    },
    end: (fleet) => {
      for (const daemon of fleet.daemons) daemon.process.resume();
      return Promise.resolve();
    },
  },
];
