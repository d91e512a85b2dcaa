import {
  afterAll,
  afterEach,
  beforeEach,
  describe,
  expect,
  it,
} from "@jest/globals";
import { connect } from "node:net";
import { text as readText } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet, FleetClient, type FleetDaemon } from "../harness/index.ts";
import type { CrowdClient } from "./crowd.ts";
import {
  createCrowdPlan,
  MAX_DESCRIPTORS,
  MEMORY_LIMIT_BYTES,
} from "./crowd_plan.ts";
import {
  declaredBodyClient,
  endlessBodyClient,
  longHeadClient,
  pipeliningClient,
  silentClient,
  tinyChunksClient,
  tricklingHeadClient,
  unfinishedHeadClient,
  unfinishedTrailersClient,
} from "./misbehaving_clients.ts";
import { runCrowd } from "./run_crowd.ts";

/** Below the limit of the route, which other tests reach. */
const BODY_BYTES = 1_000_000;
const GIGABYTE = 1_000_000_000;
const SENT_OVER_LIMIT_BYTES = 16 * BODY_BYTES;
const TEST_TIMEOUT_MS = 180_000;
/** Longest wait of an ordinary client: above that of all routes in use. */
const ORDINARY_TIMEOUT_MS = 20_000;

/** Heads of requests to a path. */
function headOf(method: string, path: string) {
  return (lines: readonly string[]) => {
    const all = [
      `${method} ${path} HTTP/1.1`,
      "Host: crowd",
      "X-Coltsfoot-Team: lots",
      ...lines,
    ];
    return all.map((line) => `${line}\r\n`).join("");
  };
}

const HEAD = headOf("POST", "/services/uploads/crowd");
const TINY = tinyChunksClient(HEAD, BODY_BYTES);
const PIPELINING = pipeliningClient(HEAD, 2_000);
const STOPPED_IN_HEAD = unfinishedHeadClient(HEAD, 120_000);
const LONG_HEAD = longHeadClient(
  HEAD,
  Array.from({ length: 1_000 }, (_, index) => `X-${index}: ${index}`),
);
const STOPPED_IN_TRAILERS = unfinishedTrailersClient(HEAD, 120_000);
const LARGE_BODY = declaredBodyClient(HEAD, BODY_BYTES, BODY_BYTES - 1);
const ANNOUNCED = declaredBodyClient(HEAD, GIGABYTE, SENT_OVER_LIMIT_BYTES);
const ENDLESS = endlessBodyClient(HEAD, SENT_OVER_LIMIT_BYTES);

/** The crowds at the port of clients, each by what its clients do. */
const CROWDS: Readonly<Record<string, readonly [number, CrowdClient]>> = {
  "pipeline requests and read nothing": [60, PIPELINING],
  "send bodies in chunks of one byte": [40, TINY],
  "announce a body far over the limit": [60, ANNOUNCED],
  "send a body far over the limit": [60, ENDLESS],
  "send legal bodies piece by piece but for a byte": [
    130,
    declaredBodyClient(HEAD, BODY_BYTES, BODY_BYTES - 1, 10_000),
  ],
  "stop within a head over the limit": [130, STOPPED_IN_HEAD],
  "stop after a head of many lines": [130, LONG_HEAD],
  "stop within trailers": [130, STOPPED_IN_TRAILERS],
  "take all connections with heads in progress": [
    400,
    tricklingHeadClient(HEAD),
  ],
};

const ADMIN = headOf("GET", "/metrics");
const DRAIN = headOf("POST", "/drain");

/** The crowds at the ports that operators and other daemons call. */
const ADMIN_CROWDS: typeof CROWDS = {
  "pipeline requests and read nothing": [60, pipeliningClient(ADMIN, 2_000)],
  "send bodies in chunks of one byte": [
    40,
    tinyChunksClient(DRAIN, BODY_BYTES),
  ],
  "send a body far over the limit": [
    60,
    endlessBodyClient(DRAIN, SENT_OVER_LIMIT_BYTES),
  ],
  "stop within a head over the limit": [
    400,
    unfinishedHeadClient(ADMIN, 120_000),
  ],
  "take all connections": [800, silentClient()],
};
const HELLO = () => '{"jsonrpc":"2.0","method":"hello","params":["';
const PEER_CROWDS: typeof CROWDS = {
  "send a line without an end": [
    60,
    declaredBodyClient(HELLO, GIGABYTE, SENT_OVER_LIMIT_BYTES),
  ],
  "take all connections": [800, silentClient()],
};

// Guards against clients that end a daemon, or keep it from serving others.
describe("a daemon of the own interface whose clients", () => {
  const client = new FleetClient();
  let fleet: Fleet;
  let daemon: FleetDaemon;

  beforeEach(async () => {
    fleet = await Fleet.start(createCrowdPlan({
      memoryLimitBytes: MEMORY_LIMIT_BYTES,
      maxDescriptors: MAX_DESCRIPTORS,
    }));
    daemon = fleet.daemon("entry-1");
  });

  afterEach(() => fleet?.stop());

  afterAll(() => client.close());

  /** Sends one ordinary request. */
  async function isServed(): Promise<boolean> {
    const call = client.service(daemon.url, {
      team: "lots",
      route: "uploads",
      path: "/ordinary",
      body: "b",
    });
    const timeout = sleep(ORDINARY_TIMEOUT_MS, undefined, { ref: false });
    const result = await Promise.race([call, timeout]);
    return result?.isOwnAndComplete === true;
  }

  /** Checks that a daemon serves others beside a crowd, within its machine. */
  async function expectOthersServed(
    groups: readonly (readonly [number, CrowdClient])[],
    port: number,
  ): Promise<void> {
    const outcome = await runCrowd({
      pid: daemon.process.pid,
      groups: groups.map(([count, client]) => ({ port, count, client })),
      isServed,
    });
    expect(daemon.process.hasExited).toBe(false);
    expect(outcome).toMatchObject({
      isServedBesideCrowd: true,
      isServedAfterwards: true,
    });
    expect(outcome.usage.memoryBytes).toBeLessThan(MEMORY_LIMIT_BYTES);
    expect(outcome.usage.descriptors).toBeLessThan(MAX_DESCRIPTORS);
    await daemon.waitUntilReady();
  }

  for (const [name, group] of Object.entries(CROWDS)) {
    it(
      `${name} serves others within its machine`,
      () => expectOthersServed([group], daemon.clientPort),
      TEST_TIMEOUT_MS,
    );
  }

  it(
    "misbehave in all these ways serves others within its machine",
    async () => {
      const groups = [
        PIPELINING,
        TINY,
        STOPPED_IN_HEAD,
        LONG_HEAD,
        STOPPED_IN_TRAILERS,
        LARGE_BODY,
        ANNOUNCED,
        ENDLESS,
      ].map((client) => [15, client] as const);
      await expectOthersServed(groups, daemon.clientPort);
    },
    TEST_TIMEOUT_MS,
  );

  for (const [name, group] of Object.entries(ADMIN_CROWDS)) {
    it(
      `${name} at the admin port serves others within its machine`,
      () => expectOthersServed([group], Number(new URL(daemon.adminUrl).port)),
      TEST_TIMEOUT_MS,
    );
  }

  for (const [name, group] of Object.entries(PEER_CROWDS)) {
    it(
      `${name} at the port of other daemons serves others`,
      () => expectOthersServed([group], daemon.peerPort),
      TEST_TIMEOUT_MS,
    );
  }

  // Guards against a limit on chunks that an ordinary client meets.
  it("are few and send a body in chunks of one byte are served", async () => {
    const socket = connect({ host: "127.0.0.1", port: daemon.clientPort });
    const lines = ["Transfer-Encoding: chunked", "Connection: close"];
    socket.write(`${HEAD(lines)}\r\n`);
    socket.write("1\r\nb\r\n".repeat(BODY_BYTES));
    socket.write("0\r\n\r\n");
    const response = await readText(socket);
    expect(response).toMatch(/^HTTP\/1\.1 200 /);
    expect(response.trimEnd()).toMatch(/\}$/);
  }, TEST_TIMEOUT_MS);
});
