import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createObjectSet, objectSchema } from "@coltsfootford/core";
import { SystemTimerService } from "@coltsfootford/key-value";
import { FakeKeyValue } from "@coltsfootford/key-value/testing";
import { createBlackboard, type TargetView } from "../../blackboard/index.ts";
import { ByteHoldings } from "../../buffering/index.ts";
import { createGuards } from "../../guards.ts";
import { listenRaw, type OpenPort } from "../../http/index.ts";
import { ClientConnections } from "../../connections/index.ts";
import type { Logger } from "../../log/index.ts";
import { Metrics } from "../../metrics/index.ts";
import { Peers } from "../../peers/index.ts";
import { TargetClient } from "../../targets/index.ts";
import { EntryServer } from "../entry_server.ts";
import { LocalPermitGate } from "../local_permit_gate.ts";

const HOST = "127.0.0.1";
const SHUTDOWN_LIMIT_MS = 8_000;
/** A limit that leaves the smallest byte budget. */
const MEMORY_LIMIT_BYTES = 1;

/** The SHA-256 digest of the API key `key-of-sealed`. */
const SEALED_KEY_SHA256 =
  "e367dd41667d7d97f3984189f6b2e83cc3f59509ea2305e48044af3645bafed8";

const OBJECTS = [
  { kind: "team", name: "open" },
  { kind: "team", name: "sealed", apiKeySha256: [SEALED_KEY_SHA256] },
  { kind: "model", name: "writer", version: "1" },
  { kind: "service", name: "desk" },
  { kind: "pool", name: "writers", model: "writer" },
  { kind: "pool", name: "desks", service: "desk" },
  {
    kind: "route",
    name: "chat",
    protocol: "chat",
    pool: "writers",
    idempotent: true,
    maxBodyBytes: 2_000,
  },
  {
    kind: "route",
    name: "bids",
    protocol: "service",
    pool: "desks",
    teams: ["open"],
    maxBodyBytes: 2_000,
  },
  {
    kind: "route",
    name: "uploads",
    protocol: "service",
    pool: "desks",
    teams: ["open"],
    idempotent: true,
    maxBodyBytes: 4_194_304,
  },
];

/** An entry server on loopback with one target for each pool. */
export interface EntryFixture {
  readonly baseUrl: string;
  readonly metrics: Metrics;
  /** Names and incarnations of targets that stated that they leave. */
  readonly leavingNotices: readonly (readonly [string, string])[];
  /** Begins a planned shutdown. */
  startDraining(): void;
  close(): Promise<void>;
}

/** Options of an entry server. */
export interface EntryFixtureOptions {
  /** Whether its connections are managed as those of a daemon are. */
  readonly hasClientConnections?: boolean;
}

/** Starts an entry server; `target` handles the requests to all targets. */
export async function startEntryFixture(
  target: RequestListener,
  { hasClientConnections = false }: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const targetServer = createServer(target);
  const targetPort = await listenOnFreePort(targetServer);
  const blackboard = createBlackboard();
  blackboard.config.claimWriter("test").write({
    revision: 1,
    nonce: "test",
    objects: createObjectSet(OBJECTS.map((it) => objectSchema.parse(it))),
  });
  const targets = new Map<string, TargetView>();
  for (const pool of ["writers", "desks"]) {
    targets.set(pool, {
      name: pool,
      availabilityZone: "z",
      pool,
      host: HOST,
      port: targetPort,
      state: "live",
    });
  }
  blackboard.targets.claimWriter("test").write(targets);
  const logger: Logger = { event: () => undefined };
  const targetClient = new TargetClient();
  const timer = new SystemTimerService();
  const metrics = new Metrics();
  const lifecycle = blackboard.lifecycle.claimWriter("test");
  const leavingNotices: [string, string][] = [];
  const { guards } = createGuards({
    vm: "d1",
    availabilityZone: "z",
    incarnation: "test",
    blackboard,
    timer,
    keyValue: new FakeKeyValue(timer),
    peers: new Peers({ vm: "d1", timer, keys: [] }),
    logger,
    metrics,
  });
  const holdings = new ByteHoldings({
    memoryLimitBytes: MEMORY_LIMIT_BYTES,
    timer,
    log: logger,
    metrics,
  });
  const entry = new EntryServer("d1", {
    holdings,
    guards,
    blackboard,
    timer,
    targetClient,
    permitGate: new LocalPermitGate(),
    leavingObserver: {
      onLeaving: (...notice) => leavingNotices.push(notice),
    },
    shutdownLimitMs: SHUTDOWN_LIMIT_MS,
    random: () => 0,
    placement: {
      orderTargets: (context) =>
        [...targets.values()].filter((it) => it.pool === context.pool.name),
    },
    logger,
    metrics,
  });
  const entryPort: OpenPort = (await listenRaw(
    (incoming, outgoing) => void entry.handle(incoming, outgoing),
    "listen",
    { host: HOST, port: 0 },
  ))._unsafeUnwrap();
  if (hasClientConnections) {
    // Listens to the events of the server, for as long as it is open.
    new ClientConnections(entryPort.server, timer, { memory: holdings });
  }
  return {
    baseUrl: `http://${HOST}:${entryPort.port}`,
    metrics,
    leavingNotices,
    startDraining: () => lifecycle.write("draining"),
    close: async () => {
      await targetClient.close();
      entryPort.server.closeAllConnections();
      entryPort.server.close();
      targetServer.closeAllConnections();
      targetServer.close();
    },
  };
}

function listenOnFreePort(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
