import { beforeEach, describe, expect, it } from "@jest/globals";
import {
  type Candidate,
  limitOwners,
  TargetRecord,
  VirtualTimerService,
} from "@coltsfootford/core";
import { JSONRPCServer } from "json-rpc-2.0";
import { Metrics } from "../../metrics/index.ts";
import {
  createForwardingBlackboard,
  type PeerDaemon,
} from "../forwarding_blackboard.ts";
import type {
  AcceptedRequest,
  RequestedSlot,
  SlotOutcome,
} from "../forwarding_types.ts";
import type { ResponseMetadata } from "../request_codec.ts";
import type { CallPeer } from "./call_peer.ts";
import { SlotController } from "./slot_controller.ts";

const SLOTS = 4;
/** Requests that the line lets execute at once: slots and a short queue. */
const EXECUTING = 5;
const DAEMONS = 3;
const LIMITS = {
  shutdownLimitMs: 8_000,
  targetLeaveMs: 2_000,
  changeApplyMs: 2_000,
  repeatRatio: 0.2,
  repeatSlack: 50,
  maxLoadFactor: 2,
};
const TARGET = {
  id: "t",
  incarnation: "t@1",
  bornAtMs: 1,
  sequence: 1,
  service: "desk",
  host: "127.0.0.1",
  port: 1,
  availabilityZone: "a",
  slots: SLOTS,
  isLeaving: false,
  coldLeftMs: 0,
};
const FULL = {
  runningRequests: SLOTS,
  waitingRequests: 0,
  slots: SLOTS,
  slowdown: 1,
};
const REQUEST = {
  engine: undefined,
  team: undefined,
  route: { rank: 1, targetLatencyMs: 300 },
  receivedAtMs: 0,
  metadata: { requestId: "r" },
} as unknown as AcceptedRequest;

interface Daemon {
  readonly peer: PeerDaemon;
  readonly controller: SlotController;
  readonly rpc: JSONRPCServer;
  readonly metrics: Metrics;
  readonly candidate: Candidate;
}

let timer: VirtualTimerService;
let daemons: Daemon[];
/** How a daemon fails: it refuses connections, or never responds. */
let faults: Map<string, "refuses" | "silent">;
let calls: string[];

const PEERS: readonly PeerDaemon[] = Array.from(
  { length: DAEMONS },
  (_, index) => ({
    name: `daemon-${index}`,
    host: "127.0.0.1",
    port: index + 1,
    availabilityZone: "a",
  }),
);
const OWNER = limitOwners(
  TARGET,
  PEERS.map(({ name }) => ({ name, availabilityZone: "a" })),
)[0]!;

const callPeer: CallPeer = async (peer, method, params, timeoutMs = 400) => {
  calls.push(method);
  const { rpc } = daemons.find((daemon) => daemon.peer.name === peer.name)!;
  const response = rpc.receive({ jsonrpc: "2.0", id: 1, method, params });
  const timeout = new Promise<never>((_, reject) =>
    timer.after(timeoutMs, () => reject(new Error("no response")))
  );
  const check = () => {
    if (faults.get(peer.name) === "refuses") throw new Error("refused");
  };
  check();
  if (faults.get(peer.name) === "silent") return timeout;
  const reply = await Promise.race([response, timeout]);
  check();
  if (faults.get(peer.name) !== undefined) return timeout;
  return JSON.parse(JSON.stringify(reply?.result ?? null));
};

function createDaemon(self: PeerDaemon): Daemon {
  const blackboard = createForwardingBlackboard(LIMITS);
  blackboard.peers.claimWriter("test").write(
    PEERS.filter((peer) => peer !== self),
  );
  const rpc = new JSONRPCServer();
  const metrics = new Metrics();
  const controller = new SlotController({
    isEnabled: true,
    self,
    blackboard,
    relay: {
      subscribe: () => {},
      announce: (_, body) => {
        announced.push(body);
      },
    },
    rpc,
    callPeer,
    timer,
    log: { event: () => {} },
    metrics,
  });
  const record = new TargetRecord();
  const candidate = { target: TARGET, record, incarnationHash: 1 };
  return { peer: self, controller, rpc, metrics, candidate };
}

let announced: unknown[];

beforeEach(() => {
  timer = new VirtualTimerService();
  faults = new Map();
  calls = [];
  announced = [];
  daemons = PEERS.map(createDaemon);
});

async function advance(durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs++) {
    timer.advance(1);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Reports the full target to the daemon. */
function reportFull({ controller, candidate }: Daemon): void {
  candidate.record.recordReportedLoad(FULL, timer.nowMs());
  candidate.record.recordSlowedFirstByte(40, 1);
  controller.onResponse(candidate, { load: FULL } as ResponseMetadata, REQUEST);
}

interface Sent {
  readonly slot: RequestedSlot;
  outcome: SlotOutcome | undefined;
  atMs: number;
}

function request({ controller, candidate }: Daemon, maxWaitMs = 500): Sent {
  const slot = controller.requestSlot(candidate, REQUEST, {
    timeLeftMs: 2 * maxWaitMs,
    maxWaitMs,
  });
  const sent: Sent = { slot, outcome: undefined, atMs: 0 };
  void slot.outcome.then((outcome) => {
    sent.outcome = outcome;
    sent.atMs = timer.nowMs();
  });
  return sent;
}

const owner = () => daemons.find(({ peer }) => peer.name === OWNER)!;
const others = () => daemons.filter(({ peer }) => peer.name !== OWNER);
const executing = (sent: readonly Sent[]) =>
  sent.filter(({ outcome }) => outcome?.kind === "execute");

describe("SlotController", () => {
  // Guards against a round trip where nothing is contended.
  it("counts only targets with a slowdown and high load as contended", () => {
    const [daemon] = daemons;
    const { controller, candidate } = daemon!;
    const load = { ...FULL, slowdown: undefined };
    candidate.record.recordReportedLoad(load, 0);
    controller.onResponse(candidate, { load } as ResponseMetadata, REQUEST);
    expect(controller.isContended(candidate, REQUEST)).toBe(false);
    reportFull(daemon!);
    expect(controller.isContended(candidate, REQUEST)).toBe(true);
    const engine = { slots: 1, cacheBytesPerToken: 1, linkMbps: 1 };
    expect(controller.isContended(candidate, { ...REQUEST, engine })).toBe(
      false,
    );
    expect(announced).toEqual([{ target: TARGET.incarnation }]);
  });

  it("shares the slots between all daemons, and passes them on", async () => {
    for (const daemon of daemons) reportFull(daemon);
    const sent = [0, 1, 2].flatMap((round) =>
      daemons.map((daemon) => request(daemon, 500 + round))
    );
    await advance(20);
    expect(executing(sent)).toHaveLength(EXECUTING);
    for (const { slot } of executing(sent)) slot.end();
    await advance(20);
    expect(executing(sent)).toHaveLength(sent.length);
  });

  // Guards against requests that wait for a daemon that is gone.
  it.each(["refuses", "silent"] as const)(
    "sends waiting requests on where the owner %s",
    async (fault) => {
      for (const daemon of daemons) reportFull(daemon);
      const sent = Array.from(
        { length: EXECUTING + 3 },
        () => request(others()[0]!),
      );
      await advance(20);
      expect(executing(sent)).toHaveLength(EXECUTING);
      faults.set(OWNER, fault);
      const lostAtMs = timer.nowMs();
      await advance(300);
      expect(executing(sent)).toHaveLength(sent.length);
      expect(Math.max(...sent.map(({ atMs }) => atMs)) - lostAtMs)
        .toBeLessThanOrEqual(250);
      const asksBefore = calls.length;
      const late = request(others()[0]!);
      await advance(1);
      expect(late.outcome?.kind).toBe("execute");
      expect(calls.length).toBe(asksBefore);
    },
  );

  it("passes on the slot of a waiting request whose client is gone", async () => {
    for (const daemon of daemons) reportFull(daemon);
    const daemon = others()[0]!;
    const sent = Array.from({ length: EXECUTING }, () => request(daemon));
    const gone = request(daemon);
    const next = request(daemon);
    await advance(20);
    gone.slot.end();
    await advance(10);
    sent[0]!.slot.end();
    await advance(20);
    expect(next.outcome?.kind).toBe("execute");
    expect(gone.outcome?.kind).not.toBe("execute");
  });

  // Guards against slots that stay taken after the loss of a daemon.
  it("passes on the slots of a daemon that is gone", async () => {
    for (const daemon of daemons) reportFull(daemon);
    const [lost, other] = others();
    for (let index = 0; index < EXECUTING; index++) request(lost!);
    await advance(20);
    const next = request(other!, 2_000);
    await advance(1_200);
    expect(next.outcome?.kind).toBe("execute");
  });

  it("rejects a request whose wait would be too long", async () => {
    for (const daemon of daemons) reportFull(daemon);
    const daemon = owner();
    for (let index = 0; index < EXECUTING; index++) request(daemon);
    await advance(5);
    const late = request(others()[0]!, 1);
    await advance(50);
    expect(late.outcome?.kind).toBe("reject");
    expect(others()[0]!.metrics.counter("slots_rejected_at_once_total")).toBe(
      1,
    );
  });

  // Guards against one message for each of many executions.
  it("reports ends at the same moment in one message", async () => {
    for (const daemon of daemons) reportFull(daemon);
    const sent = Array.from(
      { length: EXECUTING },
      () => request(others()[0]!),
    );
    await advance(20);
    for (const { slot } of sent) slot.end();
    await advance(20);
    expect(calls.filter((method) => method === "slots.end")).toHaveLength(1);
  });
});
