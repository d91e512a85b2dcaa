import { describe, expect, it } from "@jest/globals";
import * as fc from "fast-check";
import {
  ClaimStateMachine,
  DEFAULT_CLAIM_SETTINGS,
} from "./claim_state_machine.ts";
import type {
  ClaimEvent,
  ClaimResult,
  ClaimTransaction,
  FoundClaim,
} from "./claim_events.ts";
import { findClaimLocation } from "./claim_key.ts";

const DAEMONS = 3;
const KEYS = 3;
const SIMULATION_COUNT = 3_000;

type Delivery = "answered" | "answer-lost" | "lost" | "refused" | "delayed";
type Step =
  | { op: "begin"; daemon: number; key: number; body: number }
  | { op: "deliver"; index: number; how: Delivery }
  | { op: "late"; index: number }
  | { op: "call"; index: number; result: "done" | "not-run" | "unknown" }
  | { op: "pause" | "resume" | "kill"; daemon: number }
  | { op: "advance"; ms: number };

interface Call {
  readonly id: string;
  readonly key: number;
  readonly daemon: Daemon;
  executions: number;
  result?: ClaimResult["kind"] | "completed" | "unknown";
}

interface Daemon {
  readonly claims: ClaimStateMachine;
  isAlive: boolean;
  isPaused: boolean;
  readonly inbox: ClaimEvent[];
}

interface Message {
  readonly from: Daemon;
  readonly transaction: ClaimTransaction;
}

/**
 * Simulates daemons and a platform with faults, and counts the executions of
 * each call.
 */
class FaultSimulation {
  nowMs = 0;
  revision = 0;
  readonly stored = new Map<string, FoundClaim>();
  readonly network: Message[] = [];
  readonly delayed: Message[] = [];
  readonly calls = new Map<string, Call>();
  readonly ready: Call[] = [];
  readonly daemons: Daemon[] = [];
  kills = 0;
  #starts = 0;

  constructor() {
    for (let index = 0; index < DAEMONS; index++) this.start(index);
  }

  start(index: number): void {
    const claims = new ClaimStateMachine(
      `vm-${index}`,
      String(this.#starts++),
      DEFAULT_CLAIM_SETTINGS,
    );
    this.daemons[index] = { claims, isAlive: true, isPaused: false, inbox: [] };
  }

  feed(daemon: Daemon, event: ClaimEvent): void {
    if (!daemon.isAlive) return;
    if (daemon.isPaused) {
      daemon.inbox.push(event);
      return;
    }
    const actions = daemon.claims.handle({ ...event, nowMs: this.nowMs });
    for (const action of actions) {
      if (action.kind === "write") {
        this.network.push({ from: daemon, transaction: action.transaction });
      }
      if (action.kind === "claim-lost") throw new Error("claim lost");
      if (action.kind !== "dispatch" && action.kind !== "answer") continue;
      const call = this.calls.get(action.callId);
      if (!call) throw new Error("unknown call");
      if (action.kind === "dispatch") this.ready.push(call);
      else this.#checkResult(call, action.result);
    }
  }

  #checkResult(call: Call, result: ClaimResult): void {
    call.result = result.kind;
    const sameKeyCalls = [...this.calls.values()].filter((other) =>
      other !== call && other.key === call.key
    );
    const executions = sameKeyCalls.reduce(
      (sum, other) => sum + other.executions,
      0,
    );
    if (result.kind === "replay" || result.kind === "done") {
      expect(executions).toBe(1);
    }
    if (result.kind === "in-progress") {
      expect(sameKeyCalls.length).toBeGreaterThan(0);
    }
  }

  apply({ transaction }: Message): boolean {
    const holds = transaction.writes.every(
      ({ location, expectation }) => {
        const stored = this.stored.get(location.claimKey);
        if (expectation.kind === "absent") return stored === undefined;
        return stored?.modRevision === expectation.modRevision;
      },
    );
    if (!holds) return false;
    this.revision += 1;
    for (
      const { location, record, response } of transaction.writes
    ) {
      const { claimKey } = location;
      const modRevision = this.revision;
      this.stored.set(claimKey, {
        claimKey,
        modRevision,
        record,
        response,
      });
    }
    return true;
  }

  deliver(message: Message, how: Delivery): void {
    const { transactionId, writes } = message.transaction;
    const nowMs = this.nowMs;
    if (how === "answer-lost") this.apply(message);
    if (how === "delayed") this.delayed.push(message);
    if (how !== "answered") {
      const maybeApplied = how !== "refused";
      const kind = "failed";
      this.feed(message.from, { kind, nowMs, transactionId, maybeApplied });
      return;
    }
    if (this.apply(message)) {
      const { revision } = this;
      this.feed(message.from, {
        kind: "committed",
        nowMs,
        transactionId,
        revision,
      });
      return;
    }
    const found = writes.flatMap(({ location }) =>
      this.stored.get(location.claimKey) ?? []
    );
    this.feed(message.from, {
      kind: "conflicted",
      nowMs,
      transactionId,
      found,
    });
  }

  step(step: Step): void {
    if (step.op === "advance") {
      this.nowMs += step.ms;
      for (const daemon of this.daemons) {
        if (daemon.isPaused) continue;
        this.feed(daemon, { kind: "tick", nowMs: this.nowMs });
      }
    }
    if (step.op === "begin") this.begin(step.daemon, step.key, step.body);
    if (step.op === "deliver") {
      const message = removeAt(this.network, step.index);
      if (message) this.deliver(message, step.how);
    }
    if (step.op === "late") {
      const message = removeAt(this.delayed, step.index);
      if (message) this.apply(message);
    }
    if (step.op === "call") this.call(step.index, step.result);
    if (step.op === "pause") this.daemons[step.daemon]!.isPaused = true;
    if (step.op === "resume") this.resume(step.daemon);
    if (step.op === "kill") {
      this.kills += 1;
      this.daemons[step.daemon]!.isAlive = false;
      this.start(step.daemon);
    }
  }

  begin(index: number, key: number, body: number): void {
    const daemon = this.daemons[index]!;
    const id = `call-${this.calls.size}`;
    this.calls.set(id, { id, key, daemon, executions: 0 });
    const location = findClaimLocation(`key-${key}`, `d${key}`, 0)
      ._unsafeUnwrap();
    this.feed(daemon, {
      kind: "begin",
      nowMs: this.nowMs,
      callId: id,
      location,
      bodyDigest: `body-${body}`,
      claimedAtMs: 0,
      deadlineMs: this.nowMs + 3_000,
    });
  }

  call(index: number, result: "done" | "not-run" | "unknown"): void {
    const call = this.ready[index % Math.max(1, this.ready.length)];
    if (!call?.daemon.isAlive || call.daemon.isPaused) return;
    removeAt(this.ready, index);
    const mayDispatch = call.daemon.claims.mayDispatch(call.id, this.nowMs);
    const kind = mayDispatch ? result : "not-run";
    if (kind !== "not-run") call.executions += 1;
    call.result = kind === "done"
      ? "completed"
      : kind === "unknown"
      ? "unknown"
      : "deadline-passed";
    const summary = { status: 200, bodyDigest: "", sizeBytes: 0 };
    this.feed(call.daemon, {
      kind: "finish",
      nowMs: this.nowMs,
      callId: call.id,
      result: kind === "done"
        ? { kind, summary, response: undefined }
        : { kind },
    });
  }

  resume(index: number): void {
    const daemon = this.daemons[index]!;
    daemon.isPaused = false;
    for (const event of daemon.inbox.splice(0)) this.feed(daemon, event);
  }

  /** Ends all faults and lets every daemon settle its entries. */
  heal(): void {
    for (let index = 0; index < DAEMONS; index++) this.resume(index);
    for (let round = 0; round < 50; round++) {
      while (this.network.length > 0) {
        this.deliver(removeAt(this.network, 0)!, "answered");
      }
      while (this.ready.some((call) => call.daemon.isAlive)) {
        const liveIndex = this.ready.findIndex((call) => call.daemon.isAlive);
        this.call(liveIndex, "done");
      }
      this.step({ op: "advance", ms: 1_000 });
    }
    for (const message of this.delayed) this.apply(message);
  }
}

function removeAt<T>(list: T[], index: number): T | undefined {
  if (list.length === 0) return undefined;
  return list.splice(index % list.length, 1)[0];
}

const daemon = fc.nat(DAEMONS - 1);
const index = fc.nat(9);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      op: fc.constant("begin" as const),
      daemon,
      key: fc.nat(KEYS - 1),
      body: fc.constantFrom(0, 0, 0, 1),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      op: fc.constant("deliver" as const),
      index,
      how: fc.constantFrom<Delivery>(
        "answered",
        "answered",
        "answer-lost",
        "lost",
        "refused",
        "delayed",
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ op: fc.constant("late" as const), index }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      op: fc.constant("call" as const),
      index,
      result: fc.constantFrom("done", "not-run", "unknown"),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      op: fc.constantFrom("pause", "resume", "resume", "kill"),
      daemon,
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      op: fc.constant("advance" as const),
      ms: fc.constantFrom(5, 25, 100, 600, 2_000),
    }),
  },
);

describe("ClaimStateMachine under faults", () => {
  it("executes each key at most once and never a rejected call", () => {
    const steps = fc.array(stepArbitrary, { minLength: 10, maxLength: 80 });
    fc.assert(
      fc.property(steps, (list) => {
        const simulation = new FaultSimulation();
        for (const step of list) simulation.step(step);
        simulation.heal();
        const executionsByKey = new Array<number>(KEYS).fill(0);
        for (const call of simulation.calls.values()) {
          executionsByKey[call.key]! += call.executions;
          const wasExecuted = ["completed", "unknown"].includes(
            call.result ?? "",
          );
          if (!wasExecuted && call.result) expect(call.executions).toBe(0);
          // Every call of a live daemon eventually gets a response.
          if (call.daemon.isAlive) expect(call.result).toBeDefined();
        }
        expect(Math.max(...executionsByKey)).toBeLessThanOrEqual(1);
        // Only a killed daemon may leave a key claimed forever.
        for (const { record } of simulation.stored.values()) {
          if (simulation.kills === 0) expect(record.state).not.toBe("claimed");
        }
        for (const one of simulation.daemons) {
          expect(one.claims.counts().entries).toBe(0);
        }
      }),
      { seed: 20261204, numRuns: SIMULATION_COUNT },
    );
  });
});
