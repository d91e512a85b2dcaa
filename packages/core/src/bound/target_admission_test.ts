import { describe, expect, it } from "@jest/globals";
import { OwnedTargets } from "./owned_targets.ts";
import { DEFAULT_OWNED_TARGETS_OPTIONS } from "./owned_targets.ts";
import { PermitHolder } from "./permit_holder.ts";
import type { CollectRequest } from "./permit.ts";

const TARGET = "target-1";
const LIMIT = 4;

/**
 * Creates an owner whose limit is `LIMIT` because the rest of the pool is busy.
 */
function createOwnedTargets(daemon: string, nowMs: number): OwnedTargets {
  const owned = new OwnedTargets(daemon);
  owned.setPool({
    name: "writers",
    loadFactor: 10,
    maxConcurrentPerTarget: LIMIT,
    servingTargets: 2,
  });
  const report = { pool: "writers", loadsRequests: [100] };
  for (const measuredAtMs of [nowMs, nowMs + 5]) {
    owned.onPoolReport(
      "other",
      { ...report, endedPerSecond: 0, measuredAtMs },
      nowMs,
    );
  }
  return owned;
}

function takeover(
  owned: OwnedTargets,
  holders: Readonly<Record<string, PermitHolder>>,
  nowMs: number,
): CollectRequest {
  const names = Object.keys(holders);
  const known = Object.values(holders).map((holder) =>
    holder.epochOf(TARGET)?.number ?? 0
  );
  const request = owned.takeOwnership(
    TARGET,
    "writers",
    names,
    nowMs,
    { epochNumber: Math.max(...known), mayHaveActiveReports: false },
  );
  for (const name of names) {
    const response = holders[name]!.respondToCollect(request);
    owned.onCollectResponse(name, response, nowMs);
  }
  return request;
}

function admit(
  owned: OwnedTargets,
  name: string,
  holder: PermitHolder,
  nowMs: number,
): number | undefined {
  const permitId = holder.createPermitRequest(TARGET, "a", nowMs);
  const response = owned.handleRequest(
    name,
    { permitId, target: TARGET },
    nowMs,
  );
  if (response?.kind !== "granted") {
    holder.receiveRejection(permitId);
    return undefined;
  }
  if (holder.receiveGrant(response, nowMs) !== "usable") return undefined;
  return holder.start(permitId, nowMs) ? permitId : undefined;
}

describe("permits of a target", () => {
  it("are granted up to the limit and again after a return", () => {
    const owned = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(owned, { a: holder }, 0);
    const permitIds = Array.from(
      { length: 6 },
      () => admit(owned, "a", holder, 10),
    );
    expect(permitIds.filter((id) => id !== undefined)).toHaveLength(LIMIT);
    holder.end(permitIds[0]!);
    for (const entry of holder.drainReturns()) {
      owned.release("a", entry.permitId, 20);
    }
    expect(admit(owned, "a", holder, 30)).toBeDefined();
    expect(admit(owned, "a", holder, 30)).toBeUndefined();
  });

  it("are queued for and granted in order after a return", () => {
    const owned = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(owned, { a: holder }, 0);
    for (let count = 0; count < LIMIT; count++) {
      admit(owned, "a", holder, 10);
    }
    for (const permitId of [101, 102]) {
      const request = { permitId, target: TARGET, waitMs: 100 };
      expect(owned.handleRequest("a", request, 20)).toBeUndefined();
    }
    expect(owned.resolveQueuedRequests(30)).toEqual([]);
    owned.release("a", 1, 40);
    const granted = owned.resolveQueuedRequests(40);
    expect(granted.map((delayed) => delayed.response.permitId)).toEqual([101]);
    const [rejected] = owned.resolveQueuedRequests(121);
    expect(rejected!.response).toMatchObject({
      permitId: 102,
      reason: "at-limit",
    });
  });

  it("are counted by a new owner before it grants others", () => {
    const old = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(old, { b: holder }, 0);
    for (let count = 0; count < 3; count++) admit(old, "b", holder, 10);
    const next = createOwnedTargets("b", 100);
    takeover(next, { b: holder }, 100);
    expect(next.admissionOf(TARGET)!.loadRequests(100)).toBe(3);
    expect(admit(next, "b", holder, 110)).toBeDefined();
    expect(admit(next, "b", holder, 110)).toBeUndefined();
  });

  it("of a previous owner are invalid after a takeover", () => {
    const old = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(old, { b: holder }, 0);
    const permitId = holder.createPermitRequest(TARGET, "a", 10);
    const response = old.handleRequest("b", { permitId, target: TARGET }, 10);
    if (response?.kind !== "granted") throw new Error("no permit");
    holder.receiveGrant(response, 11);
    takeover(createOwnedTargets("b", 12), { b: holder }, 12);
    expect(holder.start(permitId, 13)).toBe(false);
    const lateId = holder.createPermitRequest(TARGET, "a", 14);
    const late = old.handleRequest(
      "b",
      { permitId: lateId, target: TARGET },
      15,
    );
    if (late?.kind !== "granted") throw new Error("no permit");
    expect(holder.receiveGrant(late, 16)).toBe("stale-epoch");
  });

  it("of a replaced owner are dropped when it gets the newer epoch", () => {
    const old = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(old, { b: holder }, 0);
    takeover(createOwnedTargets("b", 10), { b: holder }, 10);
    const epoch = holder.epochOf(TARGET)!;
    const response = { kind: "newer-epoch", target: TARGET, epoch } as const;
    old.onCollectResponse("b", response, 20);
    expect(old.droppedTargets()).toEqual([TARGET]);
    takeover(old, { b: holder }, 500);
    expect(old.isGranting(TARGET, 500)).toBe(true);
  });

  it("cannot be used after they expire on the holder's clock", () => {
    const owned = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(owned, { a: holder }, 0);
    const permitId = holder.createPermitRequest(TARGET, "a", 10);
    const response = owned.handleRequest(
      "a",
      { permitId, target: TARGET },
      200,
    );
    if (response?.kind !== "granted") throw new Error("no permit");
    expect(holder.receiveGrant(response, 300)).toBe("usable");
    expect(holder.start(permitId, 1_010)).toBe(false);
    expect(holder.drainReturns()).toEqual([
      { target: TARGET, owner: "a", permitId },
    ]);
  });

  it("are not granted by an owner paused for longer than the limit", () => {
    const owned = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    takeover(owned, { a: holder }, 0);
    const resumedAtMs = DEFAULT_OWNED_TARGETS_OPTIONS.pauseLimitMs + 1;
    expect(admit(owned, "a", holder, resumedAtMs)).toBeUndefined();
    takeover(owned, { a: holder }, resumedAtMs);
    expect(admit(owned, "a", holder, resumedAtMs)).toBeDefined();
  });

  it("of an unresponsive holder are covered by the target's report", () => {
    const owned = createOwnedTargets("a", 0);
    const holder = new PermitHolder();
    const request = owned.takeOwnership(TARGET, "writers", ["a", "gone"], 0);
    const response = holder.respondToCollect(request);
    owned.onCollectResponse("a", response, 0);
    expect(admit(owned, "a", holder, 100)).toBeUndefined();
    for (let nowMs = 150; nowMs <= 1_200; nowMs += 50) {
      owned.recordActivity(nowMs);
    }
    const early = { loadRequests: 0, measuredAtMs: 990 };
    owned.onTargetReport(TARGET, early, 1_200);
    expect(admit(owned, "a", holder, 1_200)).toBeUndefined();
    const report = { loadRequests: 3, measuredAtMs: 1_000 };
    owned.onTargetReport(TARGET, report, 1_200);
    expect(admit(owned, "a", holder, 1_201)).toBeDefined();
    expect(admit(owned, "a", holder, 1_202)).toBeUndefined();
  });

  it("of a holder that is gone count until the target reports", () => {
    const owned = createOwnedTargets("a", 0);
    const [here, gone] = [new PermitHolder(), new PermitHolder()];
    takeover(owned, { a: here, b: gone }, 0);
    for (let count = 0; count < LIMIT; count++) {
      admit(owned, "b", gone, 10);
    }
    owned.onHolderGone("b", 20);
    expect(admit(owned, "a", here, 30)).toBeUndefined();
    for (let nowMs = 500; nowMs <= 1_500; nowMs += 500) {
      owned.recordActivity(nowMs);
    }
    const report = { loadRequests: 1, measuredAtMs: 1_450 };
    owned.onTargetReport(TARGET, report, 1_500);
    expect(admit(owned, "a", here, 1_501)).toBeDefined();
  });
});
