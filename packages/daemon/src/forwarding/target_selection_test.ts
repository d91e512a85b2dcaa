import { beforeEach, describe, expect, it } from "@jest/globals";
import {
  NO_PROMPT,
  type Permit,
  type Placement,
  type RegisteredTarget,
  VirtualTimerService,
} from "@coltsfootford/core";
import { Metrics } from "../metrics/index.ts";
import { createForwardingBlackboard } from "./forwarding_blackboard.ts";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";
import { TargetPool } from "./target_pool.ts";
import { TargetSelection } from "./target_selection.ts";

const SERVICE = "service";
const LIMITS = {
  shutdownLimitMs: 8_000,
  targetLeaveMs: 2_000,
  changeApplyMs: 2_000,
  repeatRatio: 0.2,
  repeatSlack: 50,
  maxLoadFactor: 2,
};

let timer: VirtualTimerService;
let targets: { write(targets: readonly RegisteredTarget[]): void };
let pool: TargetPool;
let permits: Permit[];
let askedWaitsMs: number[];
let limited: Set<string>;
let evacuated: Set<string>;
let selected: string[];
let rejected: string[];
let retryAfterMs: number[];

function createTarget(id: string): RegisteredTarget {
  return {
    id,
    incarnation: id,
    bornAtMs: 1,
    sequence: 1,
    service: SERVICE,
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    slots: 6,
    isLeaving: false,
    coldLeftMs: 0,
  };
}

beforeEach(() => {
  timer = new VirtualTimerService();
  const blackboard = createForwardingBlackboard(LIMITS);
  pool = new TargetPool(blackboard, timer);
  targets = blackboard.targets.claimWriter("test");
  targets.write(["a", "b"].map(createTarget));
  permits = [];
  askedWaitsMs = [];
  limited = new Set(["a", "b"]);
  evacuated = new Set();
  selected = [];
  rejected = [];
  retryAfterMs = [];
});

function select(timeLeftMs: number): TargetSelection {
  const accepted = {
    metadata: { requestId: "r", prompt: NO_PROMPT },
    route: { targetLatencyMs: 100 },
    service: SERVICE,
    engine: undefined,
  } as unknown as AcceptedRequest;
  const dependencies = {
    pool,
    timer,
    log: { event: () => {} },
    metrics: new Metrics(),
    placement: () => ({
      availabilityZone: "a",
      daemonHash: 1,
      maxLoadFactor: 2,
      promptTokensPerMs: 50,
    }),
    evacuatedZones: () => evacuated,
    limits: {
      isLimited: ({ id }: RegisteredTarget) => limited.has(id),
      requestPermit: (_: unknown, maxWaitMs: number) => {
        askedWaitsMs.push(maxWaitMs);
        return Promise.resolve(permits.shift() ?? { kind: "denied" });
      },
    },
  } as unknown as ForwarderDependencies;
  const selection = new TargetSelection(
    accepted,
    dependencies,
    new Set(),
    () => timeLeftMs,
    {
      onSelected: ({ candidate }: Placement) =>
        selected.push(candidate.target.id),
      onNone: (reason, afterMs) => {
        rejected.push(reason);
        retryAfterMs.push(afterMs);
      },
    },
  );
  selection.start();
  return selection;
}

const settle = () => new Promise((resolve) => setTimeout(resolve, 5));

describe("TargetSelection", () => {
  it("selects a target without a limit at once", () => {
    limited.clear();
    select(1_000);
    expect(selected).toHaveLength(1);
  });

  it("waits for the permit that was granted", async () => {
    permits.push({ kind: "granted", waitMs: 80 });
    select(1_000);
    await settle();
    timer.advance(79);
    expect(selected).toHaveLength(0);
    timer.advance(1);
    expect(selected).toHaveLength(1);
  });

  // Guards against a request that is sent to a target that left meanwhile.
  it("selects anew where the target has left during the wait", async () => {
    permits.push({ kind: "granted", waitMs: 80 });
    select(1_000);
    await settle();
    targets.write([createTarget("c")]);
    timer.advance(80);
    expect(selected).toEqual(["c"]);
  });

  // Guards against a request that is sent to a zone that was evacuated while
  // the request waited for its permit.
  it("selects anew where the zone was evacuated during the wait", async () => {
    permits.push({ kind: "granted", waitMs: 80 });
    select(1_000);
    await settle();
    evacuated.add("a");
    timer.advance(80);
    expect(selected).toHaveLength(0);
    expect(rejected).toEqual(["zones evacuated"]);
  });

  it("rejects where every target denies a permit", async () => {
    select(1_000);
    await settle();
    expect(askedWaitsMs).toHaveLength(2);
    expect(rejected).toEqual(["limits used up"]);
  });

  // Guards against a Retry-After that is no number.
  it("names a time to return also where all targets have left", async () => {
    select(1_000);
    targets.write([]);
    await settle();
    expect(retryAfterMs).toEqual([0]);
  });

  // Guards against permits that owners reject as malformed, so that they count
  // as unreachable.
  it("asks for no negative wait after the deadline", async () => {
    select(-3);
    await settle();
    expect(Math.min(...askedWaitsMs)).toBe(0);
  });

  it("does nothing once it is cancelled", async () => {
    permits.push({ kind: "granted", waitMs: 10 });
    select(1_000).cancel();
    await settle();
    timer.advance(100);
    expect([...selected, ...rejected]).toEqual([]);
  });
});
