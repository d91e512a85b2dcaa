import { describe, expect, it } from "@jest/globals";
import {
  ClaimStateMachine,
  DEFAULT_CLAIM_SETTINGS,
} from "./claim_state_machine.ts";
import type {
  ClaimAction,
  ClaimEvent,
  ClaimTransaction,
  FoundClaim,
} from "./claim_events.ts";
import {
  type ClaimLocation,
  findClaimLocation,
  readKeyDateMs,
} from "./claim_key.ts";
import { CLAIM_LEASE_TTL_MS, DATED_KEY_WINDOW_MS } from "./claim_key.ts";

const SUMMARY = { status: 200, bodyDigest: "d", sizeBytes: 2 };
const RESPONSE = { status: 200, contentType: "text/plain", body: "ok" };

function locationOf(key: string): ClaimLocation {
  return findClaimLocation(key, `digest-${key}`, 0)._unsafeUnwrap();
}

function begin(callId: string, key: string, nowMs: number): ClaimEvent {
  return {
    kind: "begin",
    nowMs,
    callId,
    location: locationOf(key),
    bodyDigest: "body",
    claimedAtMs: 0,
    deadlineMs: 10_000,
  };
}

function createStateMachine(vm = "vm-1"): ClaimStateMachine {
  return new ClaimStateMachine(vm, "1", DEFAULT_CLAIM_SETTINGS);
}

function findWrite(actions: readonly ClaimAction[]): ClaimTransaction {
  const write = actions.find((action) => action.kind === "write");
  if (!write) throw new Error("expected a write");
  return write.transaction;
}

/** The stored claims after `transaction` took effect. */
function foundAfter(transaction: ClaimTransaction): FoundClaim[] {
  return transaction.writes.map((write) => ({
    claimKey: write.location.claimKey,
    modRevision: 7,
    record: write.record,
    response: write.response,
  }));
}

function claimAndOwn(
  claims: ClaimStateMachine,
  callId: string,
  key: string,
): void {
  const { transactionId } = findWrite(claims.handle(begin(callId, key, 0)));
  claims.handle({ kind: "committed", nowMs: 5, transactionId, revision: 7 });
}

describe("ClaimStateMachine", () => {
  it("batches the claims of a window into one transaction", () => {
    const claims = createStateMachine();
    const first = findWrite(claims.handle(begin("c0", "k0", 0)));
    expect(first.writes).toHaveLength(1);
    for (let index = 1; index <= 100; index++) {
      expect(claims.handle(begin(`c${index}`, `k${index}`, 1))).toEqual([]);
    }
    const second = findWrite(claims.handle({ kind: "tick", nowMs: 20 }));
    expect(second.writes).toHaveLength(100);
  });

  it("recognizes its own claim when the response to the write was lost", () => {
    const claims = createStateMachine();
    const lost = findWrite(claims.handle(begin("c", "k", 0)));
    const { transactionId } = lost;
    const after = claims.handle({
      kind: "failed",
      nowMs: 10,
      transactionId,
      maybeApplied: true,
    });
    expect(after).toEqual([]);
    const retry = findWrite(claims.handle({ kind: "tick", nowMs: 500 }));
    const actions = claims.handle({
      kind: "conflicted",
      nowMs: 510,
      transactionId: retry.transactionId,
      found: foundAfter(lost),
    });
    expect(actions).toEqual([{ kind: "dispatch", callId: "c" }]);
  });

  it("never dispatches a call whose key another daemon holds", () => {
    const other = findWrite(
      createStateMachine("vm-2").handle(begin("x", "k", 0)),
    );
    const claims = createStateMachine();
    const { transactionId } = findWrite(claims.handle(begin("c", "k", 0)));
    const found = foundAfter(other);
    const actions = claims.handle({
      kind: "conflicted",
      nowMs: 5,
      transactionId,
      found,
    });
    expect(actions).toEqual([
      { kind: "answer", callId: "c", result: { kind: "in-progress" } },
    ]);
  });

  it("replays the recorded response and rejects another body", () => {
    const owner = createStateMachine("vm-2");
    claimAndOwn(owner, "x", "k");
    owner.handle({
      kind: "finish",
      nowMs: 50,
      callId: "x",
      result: { kind: "done", summary: SUMMARY, response: RESPONSE },
    });
    const done = findWrite(owner.handle({ kind: "tick", nowMs: 200 }));
    const claims = createStateMachine();
    const { transactionId } = findWrite(claims.handle(begin("c", "k", 0)));
    const found = foundAfter(done);
    const conflict = { kind: "conflicted", nowMs: 5, transactionId, found };
    expect(claims.handle(conflict as ClaimEvent)).toEqual([
      {
        kind: "answer",
        callId: "c",
        result: { kind: "replay", response: RESPONSE },
      },
    ]);
    const other = { ...begin("e", "k", 30), bodyDigest: "other" } as ClaimEvent;
    const second = findWrite(claims.handle(other));
    expect(claims.handle({
      kind: "conflicted",
      nowMs: 35,
      transactionId: second.transactionId,
      found,
    })).toEqual([
      { kind: "answer", callId: "e", result: { kind: "key-reused" } },
    ]);
  });

  it("claims a released key by compare-and-swap on its revision", () => {
    const owner = createStateMachine("vm-2");
    claimAndOwn(owner, "x", "k");
    const released = findWrite(owner.handle({
      kind: "finish",
      nowMs: 50,
      callId: "x",
      result: { kind: "not-run" },
    }));
    const claims = createStateMachine();
    const { transactionId } = findWrite(claims.handle(begin("c", "k", 0)));
    const found = foundAfter(released);
    claims.handle({ kind: "conflicted", nowMs: 5, transactionId, found });
    const reclaim = findWrite(claims.handle({ kind: "tick", nowMs: 30 }));
    expect(reclaim.writes[0]?.expectation).toEqual({
      kind: "revision",
      modRevision: 7,
    });
  });

  it("rejects a call while the platform is down, then releases its claim", () => {
    const claims = createStateMachine();
    const lost = findWrite(claims.handle(begin("c", "k", 0)));
    const { transactionId } = lost;
    claims.handle({
      kind: "failed",
      nowMs: 1_000,
      transactionId,
      maybeApplied: true,
    });
    const second = findWrite(claims.handle({ kind: "tick", nowMs: 1_100 }));
    const rejected = claims.handle({ kind: "tick", nowMs: 2_100 });
    expect(rejected).toEqual([{
      kind: "answer",
      callId: "c",
      result: { kind: "platform-unavailable", keyHeld: true },
    }]);
    claims.handle({
      kind: "failed",
      nowMs: 2_200,
      transactionId: second.transactionId,
      maybeApplied: true,
    });
    expect(claims.mayDispatch("c", 2_200)).toBe(false);
    const release = findWrite(claims.handle({ kind: "tick", nowMs: 9_000 }));
    expect(release.writes[0]?.record.state).toBe("not-run");
  });

  it("dispatches no call after its deadline and releases its claim", () => {
    const claims = createStateMachine();
    claimAndOwn(claims, "c", "k");
    expect(claims.mayDispatch("c", 9_999)).toBe(true);
    expect(claims.mayDispatch("c", 10_000)).toBe(false);
    const actions = claims.handle({
      kind: "finish",
      nowMs: 10_000,
      callId: "c",
      result: { kind: "not-run" },
    });
    expect(findWrite(actions).writes[0]?.record.state).toBe("not-run");
  });
});

describe("findClaimLocation", () => {
  const DATE_MS = Date.UTC(2026, 0, 5, 8);
  const DATED_KEY = `${
    DATE_MS.toString(16).padStart(12, "0").replace(/^(.{8})/, "$1-")
  }-7000-8000-000000000000`;

  it("reads the date of UUID version 7 and ULID keys only", () => {
    expect(readKeyDateMs(DATED_KEY)).toBe(DATE_MS);
    expect(readKeyDateMs("01ARZ3NDEKTSV4RRFFQ69G5FAV")).toBe(1469922850259);
    expect(readKeyDateMs("booking-17")).toBeUndefined();
  });

  it("rejects dated keys outside their window and outlives it with the lease", () => {
    const kindAt = (nowMs: number) =>
      findClaimLocation(DATED_KEY, "d", nowMs).match(
        (location) => (location.leased ? "leased" : "unleased"),
        (error) => error.kind,
      );
    expect(kindAt(DATE_MS)).toBe("leased");
    expect(kindAt(DATE_MS + DATED_KEY_WINDOW_MS + 1)).toBe("key-too-old");
    expect(kindAt(DATE_MS - 3_600_000)).toBe("key-from-future");
    expect(CLAIM_LEASE_TTL_MS).toBeGreaterThan(DATED_KEY_WINDOW_MS);
    expect(locationOf("booking-17").leased).toBe(false);
  });
});
