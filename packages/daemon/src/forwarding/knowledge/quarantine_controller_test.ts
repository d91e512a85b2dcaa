import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
  type InFlightAttempt,
  type RegisteredTarget,
  type TimerService,
  VirtualTimerService,
} from "@coltsfootford/core";
import { SystemTimerService } from "@coltsfootford/key-value";
import { FakeKeyValue } from "@coltsfootford/key-value/testing";
import { JSONRPCServer } from "json-rpc-2.0";
import {
  createForwardingBlackboard,
  type ForwardingBlackboard,
} from "../forwarding_blackboard.ts";
import { digestRequest } from "../request_digest.ts";
import { CrashCheck } from "./crash_check.ts";
import { FleetRelay } from "./fleet_relay.ts";
import { QuarantineController } from "./quarantine_controller.ts";

const LIMITS = {
  shutdownLimitMs: 8_000,
  targetLeaveMs: 2_000,
  changeApplyMs: 2_000,
  repeatRatio: 0.2,
  repeatSlack: 50,
  maxLoadFactor: 2,
};
const REQUEST = {
  method: "POST",
  path: "/a/1",
  body: Buffer.from("crashes"),
  team: { name: "team" },
};
const KEY = `coltsfootford/quarantine/${digestRequest(REQUEST)}`;

let blackboard: ForwardingBlackboard;
let store: FakeKeyValue;
let controller: QuarantineController;
let liveServer: Server;
let livePort: number;
let deadPort: number;

async function listen(): Promise<[Server, number]> {
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return [server, (server.address() as AddressInfo).port];
}

/** Creates a controller on a store of its own. */
function createController(timer: TimerService): void {
  blackboard = createForwardingBlackboard(LIMITS);
  store = new FakeKeyValue(timer);
  const self = { name: "daemon-1", host: "127.0.0.1", port: 1 };
  const rpc = new JSONRPCServer();
  const log = { event: () => {} };
  controller = new QuarantineController({
    self,
    blackboard,
    store,
    rpc,
    relay: new FleetRelay({ self, blackboard, seeds: [], rpc, timer, log }),
    crashCheck: new CrashCheck(timer),
    timer,
    log,
  });
}

beforeEach(async () => {
  createController(new SystemTimerService());
  [liveServer, livePort] = await listen();
  const [stopped, port] = await listen();
  deadPort = port;
  await new Promise((resolve) => stopped.close(resolve));
});

afterEach(() => {
  liveServer.close();
});

const target = (incarnation: string, port: number) =>
  ({ incarnation, host: "127.0.0.1", port }) as RegisteredTarget;

const attempt = (eventsReceived: number): InFlightAttempt => ({
  startedAtMs: 0,
  unreadTokens: 0,
  lastByteAtMs: 0,
  hasResponse: eventsReceived > 0,
  eventsReceived,
});

async function breakAttempts(
  count: number,
  port: number,
  eventsReceived = 0,
  firstTarget = 0,
): Promise<void> {
  for (let index = firstTarget; index < firstTarget + count; index++) {
    controller.onAttemptBroken(
      REQUEST,
      target(`target-${index}`, port),
      attempt(eventsReceived),
    );
  }
  await new Promise((resolve) => setTimeout(resolve, 200));
}

const isPublished = async () =>
  (await store.get(KEY))._unsafeUnwrap() !== undefined;

describe("QuarantineController", () => {
  it("publishes the digest of content that crashed three targets", async () => {
    await breakAttempts(2, deadPort);
    expect(await isPublished()).toBe(false);
    await breakAttempts(3, deadPort);
    expect(await isPublished()).toBe(true);
  });

  it("ignores lost connections to targets that still accept connections", async () => {
    await breakAttempts(5, livePort);
    expect(await isPublished()).toBe(false);
  });

  // Guards against the quarantine of streams that a crash of other origin
  // interrupts, since their targets had survived their beginning.
  it("ignores crashes during a response that had begun", async () => {
    await breakAttempts(5, deadPort, 2);
    expect(await isPublished()).toBe(false);
  });

  // Guards against a request that crashes target after target, each in the midst
  // of its response, and is forwarded for good.
  it("counts crashes in the midst of responses one after the other", async () => {
    for (let index = 0; index < 5; index++) {
      await breakAttempts(1, deadPort, 2, index);
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    expect(await isPublished()).toBe(true);
  });

  // Guards against a request that crashes target after target, since each sends
  // the first event before it ends.
  it("counts crashes right after the first event", async () => {
    await breakAttempts(3, deadPort, 1);
    expect(await isPublished()).toBe(true);
  });

  it("ignores crashes of content that was served recently", async () => {
    const bodiless = { ...REQUEST, body: Buffer.alloc(0) };
    controller.onRequestServed(bodiless);
    for (let index = 0; index < 5; index++) {
      controller.onAttemptBroken(
        bodiless,
        target(`target-${index}`, deadPort),
        attempt(0),
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 200));
    const key = `coltsfootford/quarantine/${digestRequest(bodiless)}`;
    expect((await store.get(key))._unsafeUnwrap()).toBeUndefined();
  });

  // Guards against a record that an outage of the store ends with its lease.
  it("publishes a record that no lease ends", async () => {
    await breakAttempts(3, deadPort);
    store.store.expireLeases(Infinity);
    expect(await isPublished()).toBe(true);
  });

  it("deletes the record when the quarantine ends", async () => {
    const timer = new VirtualTimerService();
    createController(timer);
    blackboard.storeContact.claimWriter("test").write({
      ...blackboard.storeContact.read(),
      isReachable: true,
    });
    await controller.start();
    controller.applyFact({ digest: digestRequest(REQUEST) });
    const settle = async (durationMs: number) => {
      timer.advance(durationMs);
      for (let turn = 0; turn < 5; turn++) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      controller.followed.applyBatch({
        kind: "snapshot",
        revision: { era: 1, revision: store.store.revision },
        entries: store.store.range({ prefix: "" }).entries,
      });
    };
    await settle(1_000);
    expect(await isPublished()).toBe(true);
    await settle(595_000);
    expect(blackboard.quarantine.read().size).toBe(1);
    await settle(6_000);
    await settle(1_000);
    expect(await isPublished()).toBe(false);
    await settle(10_000);
    expect(blackboard.quarantine.read().size).toBe(0);
    expect(await isPublished()).toBe(false);
  });

  it("applies digests that other daemons published", () => {
    controller.followed.applyBatch({
      kind: "snapshot",
      revision: { era: 1, revision: 7 },
      entries: [{
        key: KEY,
        value: "{}",
        createRevision: 7,
        modRevision: 7,
        version: 1,
        leaseId: "1",
      }],
    });
    expect([...blackboard.quarantine.read()]).toEqual([digestRequest(REQUEST)]);
  });
});
