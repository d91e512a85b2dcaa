import {
  afterAll,
  afterEach,
  beforeEach,
  describe,
  expect,
  it,
} from "@jest/globals";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet, FleetClient, type FleetDaemon } from "../harness/index.ts";
import { Crowd, type CrowdClient } from "./crowd.ts";
import {
  idleClient,
  largeChunksClient,
  tinyChunksClient,
  unfinishedBodyClient,
  unreadResponseClient,
  wholeBodyClient,
} from "./crowd_clients.ts";
import {
  createCrowdPlan,
  MAX_BODY_BYTES,
  MAX_DESCRIPTORS,
  MEMORY_LIMIT_BYTES,
} from "./crowd_plan.ts";
import { UsageSampler } from "./process_usage.ts";

const TINY_CHUNKS_BODY_BYTES = 128 * 1024;
/** Longest wait for a crowd whose bytes the daemon does not read. */
const MAX_WAIT_MS = 20_000;
/** Time in which the daemon handles what has arrived. */
const SETTLE_MS = 1_000;

/** The crowds, by what their clients do: the client, and their number. */
const CROWDS: Readonly<Record<string, readonly [CrowdClient, number]>> = {
  "send chunks of one byte": [tinyChunksClient(TINY_CHUNKS_BODY_BYTES), 16],
  "send chunks of 64 KiB": [largeChunksClient(MAX_BODY_BYTES), 80],
  "send all of a body but a byte": [unfinishedBodyClient(MAX_BODY_BYTES), 80],
  "send whole bodies": [wholeBodyClient(MAX_BODY_BYTES), 80],
  "read nothing of a large response": [unreadResponseClient(), 80],
  "are idle": [idleClient(), 600],
};

// Guards against clients that make a daemon run out of memory or descriptors.
describe("a daemon whose untrusted clients", () => {
  const client = new FleetClient();
  let fleet: Fleet;
  let daemon: FleetDaemon;
  let crowd: Crowd;

  beforeEach(async () => {
    fleet = await Fleet.start(createCrowdPlan({
      memoryLimitBytes: MEMORY_LIMIT_BYTES,
      maxDescriptors: MAX_DESCRIPTORS,
    }));
    daemon = fleet.daemon("entry-1");
  });

  afterEach(async () => {
    crowd?.disperse();
    await fleet?.stop();
  });

  afterAll(() => client.close());

  /** Sends one ordinary request with a body of `bodyBytes`. */
  async function isServed(bodyBytes: number): Promise<boolean> {
    const { isOwnAndComplete } = await client.service(daemon.url, {
      team: "lots",
      route: "uploads",
      path: "/ordinary",
      body: "b".repeat(bodyBytes),
    });
    return isOwnAndComplete;
  }

  for (const [name, [crowdClient, count]] of Object.entries(CROWDS)) {
    it(`${name} stays within its limits and serves others`, async () => {
      crowd = new Crowd();
      const sampler = new UsageSampler(daemon.process.pid);
      await crowd.gather(daemon.clientPort, count, crowdClient, MAX_WAIT_MS);
      await sleep(SETTLE_MS);
      const isServedBesideCrowd = await isServed(1);
      crowd.disperse();
      const isLargestServed = await isServed(MAX_BODY_BYTES);
      const usage = sampler.stop();
      expect(daemon.process.hasExited).toBe(false);
      expect(usage.residentBytes).toBeLessThan(MEMORY_LIMIT_BYTES);
      expect(usage.descriptors).toBeLessThan(MAX_DESCRIPTORS);
      expect([isServedBesideCrowd, isLargestServed]).toEqual([true, true]);
    });
  }
});
