import { beforeEach, describe, expect, it } from "@jest/globals";
import {
  type Candidate,
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
  SlotOutcome,
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
let areExact: boolean[];
let contended: Set<string>;
let slotOutcomes: SlotOutcome[];
let slotWaits: { readonly target: string; readonly maxWaitMs: number }[];
let slotsEnded: string[];

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
  areExact = [];
  contended = new Set();
  slotOutcomes = [];
  slotWaits = [];
  slotsEnded = [];
});

function select(
  timeLeftMs: number,
  attempted: ReadonlySet<string> = new Set(),
): TargetSelection {
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
    slots: {
      isContended: ({ target }: Candidate) => contended.has(target.id),
      requestSlot: (
        { target: { id } }: Candidate,
        _: unknown,
        { maxWaitMs }: { maxWaitMs: number },
      ) => {
        slotWaits.push({ target: id, maxWaitMs });
        const outcome = slotOutcomes.shift();
        return {
          outcome: outcome
            ? Promise.resolve(outcome)
            : new Promise<never>(() => {}),
          end: () => slotsEnded.push(id),
        };
      },
    },
  } as unknown as ForwarderDependencies;
  const selection = new TargetSelection(
    accepted,
    dependencies,
    attempted,
    () => timeLeftMs,
    {
      onSelected: ({ candidate }: Placement) =>
        selected.push(candidate.target.id),
      onNone: (reason, afterMs, isExact) => {
        rejected.push(reason);
        retryAfterMs.push(afterMs);
        areExact.push(isExact);
      },
    },
  );
  selection.start();
  return selection;
}

/** Makes the target cost more than others without load. */
function addLoad(id: string): void {
  pool.find(id)!.record.recordReportedLoad({
    runningRequests: 2,
    waitingRequests: 0,
    slots: 6,
  }, 0);
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

describe("TargetSelection of contended targets", () => {
  const reject = (afterMs: number | undefined): SlotOutcome => ({
    kind: "reject",
    retryAfterMs: afterMs,
  });

  beforeEach(() => {
    limited.clear();
    contended = new Set(["a", "b"]);
  });

  // Guards against a round trip in calm traffic.
  it("asks for no slot where the target is not contended", () => {
    contended.clear();
    select(1_000);
    expect(slotWaits).toEqual([]);
    expect(selected).toHaveLength(1);
  });

  // Guards against a rejection that is no longer truthful.
  it("holds back no request that was sent before", () => {
    select(1_000, new Set(["a"]));
    expect(slotWaits).toEqual([]);
    expect(selected).toEqual(["b"]);
  });

  it("selects the target once it has a slot", async () => {
    slotOutcomes.push({ kind: "execute" });
    select(1_000);
    expect(selected).toEqual([]);
    await settle();
    expect(selected).toEqual([slotWaits[0]!.target]);
    expect(slotsEnded).toEqual([]);
  });

  // Guards against a slot that stays taken after the end of its request.
  it("ends the use of the slot when it is cancelled", async () => {
    slotOutcomes.push({ kind: "execute" });
    const selection = select(1_000);
    await settle();
    selection.cancel();
    expect(slotsEnded).toEqual(selected);
  });

  it("waits a bounded time for one of two, then all its time", async () => {
    slotOutcomes.push(reject(80), { kind: "execute" });
    select(900);
    await settle();
    expect(slotWaits.map(({ maxWaitMs }) => maxWaitMs)).toEqual([250, 900]);
    expect(selected).toEqual([slotWaits[1]!.target]);
  });

  it("goes to a target that is not contended after a rejection", async () => {
    slotOutcomes.push(reject(80));
    contended = new Set(["a"]);
    addLoad("b");
    select(900);
    await settle();
    expect(selected).toEqual(["b"]);
  });

  it("is rejected with the earliest time where no line has a slot", async () => {
    slotOutcomes.push(reject(80), reject(30));
    select(900);
    await settle();
    expect(selected).toEqual([]);
    expect(rejected).toEqual(["no slot in time"]);
    expect(retryAfterMs).toEqual([30]);
    expect(areExact).toEqual([true]);
  });

  // Guards against a Retry-After of zero that no line has stated.
  it("names no exact time where the waits ended without one", async () => {
    slotOutcomes.push(reject(undefined), reject(undefined));
    select(900);
    await settle();
    expect(areExact).toEqual([false]);
  });

  // Guards against a request to a target that left during the wait.
  it("selects anew where the target has left during the wait", async () => {
    slotOutcomes.push({ kind: "execute" });
    select(900);
    targets.write([createTarget("c")]);
    await settle();
    expect(selected).toEqual(["c"]);
    expect(slotsEnded).toEqual([slotWaits[0]!.target]);
  });

  it("asks for a slot after the permit", async () => {
    limited = new Set(["a", "b"]);
    permits.push({ kind: "granted", waitMs: 10 });
    slotOutcomes.push({ kind: "execute" });
    select(900);
    await settle();
    expect(slotWaits).toEqual([]);
    timer.advance(10);
    await settle();
    expect(selected).toEqual([slotWaits[0]!.target]);
    // Later requests would exceed the limit of one second.
    expect(slotWaits[0]!.maxWaitMs).toBe(50);
  });
});
