import { setTimeout as sleep } from "node:timers/promises";
import { Crowd, type CrowdClient } from "./crowd.ts";
import { type ProcessUsage, UsageSampler } from "./process_usage.ts";

/** Longest wait for clients whose bytes the daemon does not read. */
const MAX_WAIT_MS = 5_000;
/** Time in which the daemon handles what has arrived. */
const SETTLE_MS = 1_000;

/** Clients of one kind that connect to the same port. */
export interface CrowdGroup {
  readonly port: number;
  readonly count: number;
  readonly client: CrowdClient;
}

/** A crowd of one daemon process. */
export interface CrowdRun {
  readonly pid: number;
  /** The groups, which arrive together. */
  readonly groups: readonly CrowdGroup[];
  /** Sends one ordinary request; resolves with whether it was served. */
  readonly isServed: () => Promise<boolean>;
}

/** What a daemon did beside a crowd. */
export interface CrowdOutcome {
  /** Highest values from the first client until the last ordinary request. */
  readonly usage: ProcessUsage;
  readonly isServedBesideCrowd: boolean;
  readonly isServedAfterwards: boolean;
}

/**
 * Gathers a crowd, sends an ordinary request, disperses the crowd, and sends
 * another ordinary request.
 */
export async function runCrowd(
  { pid, groups, isServed }: CrowdRun,
): Promise<CrowdOutcome> {
  const crowd = new Crowd();
  const sampler = new UsageSampler(pid);
  await Promise.all(
    groups.map(({ port, count, client }) =>
      crowd.gather(port, count, client, MAX_WAIT_MS)
    ),
  );
  await sleep(SETTLE_MS);
  const isServedBesideCrowd = await isServed();
  crowd.disperse();
  const isServedAfterwards = await isServed();
  return { usage: sampler.stop(), isServedBesideCrowd, isServedAfterwards };
}
