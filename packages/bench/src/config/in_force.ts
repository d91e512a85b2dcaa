import { setTimeout as sleep } from "node:timers/promises";
import { CONFIG_HEAD_KEY } from "@coltsfootford/core";
import { Fleet, type FleetDaemon, type FleetPlan } from "../harness/index.ts";
import { readConfig } from "./config_fleet.ts";
import { publishObjects } from "./publish_objects.ts";

const POLL_MS = 5;
/** Longest wait for one publication. */
const LIMIT_MS = 60_000;

/** Something that hampers the way of a publication. */
export interface Hindrance {
  readonly name: string;
  /** Gives the names of the daemons that cannot answer until `end`. */
  begin(fleet: Fleet): Promise<readonly string[]>;
  end(fleet: Fleet): Promise<void>;
}

/** How long publications took to be in force in every reachable daemon. */
export interface InForceTimes {
  readonly hindrance: string;
  readonly publications: number;
  readonly medianMs: number;
  readonly maxMs: number;
}

/** Publishes some times under a hindrance and measures each. */
export async function measureInForce(
  plan: FleetPlan,
  hindrance: Hindrance,
  publications: number,
): Promise<InForceTimes> {
  // The harness waits until its own publication is in force.
  const fleet = await Fleet.start(plan);
  try {
    const timesMs: number[] = [];
    for (let index = 0; index < publications; index++) {
      const revision = index + 2;
      const paused = await hindrance.begin(fleet);
      const startMs = performance.now();
      await publishWeight(fleet, revision);
      await waitInForce(fleet, revision, paused);
      timesMs.push(performance.now() - startMs);
      await hindrance.end(fleet);
    }
    timesMs.sort((a, b) => a - b);
    return {
      hindrance: hindrance.name,
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

/** Waits for every daemon that is not paused. */
async function waitInForce(
  fleet: Fleet,
  revision: number,
  paused: readonly string[],
): Promise<void> {
  const endMs = performance.now() + LIMIT_MS;
  let waiting = fleet.daemons.filter((daemon) => !paused.includes(daemon.vm));
  while (waiting.length > 0) {
    if (performance.now() > endMs) {
      const names = waiting.map((daemon) => daemon.vm).join(", ");
      throw new Error(`revision ${revision} is not in force at ${names}`);
    }
    const dumps = await Promise.all(waiting.map(readConfig));
    waiting = waiting.filter((_daemon, index) =>
      (dumps[index]?.revision ?? 0) < revision
    );
    if (waiting.length > 0) await sleep(POLL_MS);
  }
}

/** Sets faults of the key-value service. */
function platformFault(name: string, faults: object): Hindrance {
  return {
    name,
    begin: async (fleet) => {
      await fleet.platform.setFaults("platform", faults);
      return [];
    },
    end: () => Promise.resolve(),
  };
}

/** The daemon that most others of its zone hear of a publication from. */
async function findBusiestRelay(fleet: Fleet): Promise<FleetDaemon> {
  const dumps = await Promise.all(fleet.daemons.map(readConfig));
  const counts = dumps.map((dump) => dump.children.length);
  const daemon = fleet.daemons[counts.indexOf(Math.max(...counts))];
  if (!daemon) throw new Error("the plan has no daemons");
  return daemon;
}

/** What may hamper a publication, the plain case first. */
export const HINDRANCES: readonly Hindrance[] = [
  {
    name: "none",
    begin: () => Promise.resolve([]),
    end: () => Promise.resolve(),
  },
  platformFault("answer to the publication lost", {
    loseWriteAnswers: 1,
    loseKeyPrefix: CONFIG_HEAD_KEY,
  }),
  platformFault("platform answers after 500 ms", { slowMs: 500 }),
  platformFault("watches deliver nothing", { stallWatches: true }),
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
