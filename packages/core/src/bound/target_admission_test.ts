import { describe, expect, it } from "@jest/globals";
import { OwnedTargets } from "./owned_targets.ts";
import { DEFAULT_OWNED_TARGETS_OPTIONS } from "./owned_targets.ts";
import { PermitHolder } from "./permit_holder.ts";
import type { CollectRequest } from "./permit.ts";

const TARGET = "target-1";
const LIMIT = 4;

/** A keeper whose limit is `LIMIT`, because the rest of the pool is busy. */
function createBook(daemon: string, nowMs: number): OwnedTargets {
  const book = new OwnedTargets(daemon);
  book.setPool({
    name: "writers",
    loadFactor: 10,
    maxConcurrentPerTarget: LIMIT,
    servingTargets: 2,
  });
  const report = { pool: "writers", loadsRequests: [100] };
  for (const measuredAtMs of [nowMs, nowMs + 5]) {
    book.notePoolReport(
      "other",
      { ...report, endedPerSecond: 0, measuredAtMs: measuredAtMs },
      nowMs,
    );
  }
  return book;
}

function takeover(
  book: OwnedTargets,
  holders: Readonly<Record<string, PermitHolder>>,
  nowMs: number,
): CollectRequest {
  const names = Object.keys(holders);
  const known = Object.values(holders).map((holder) =>
    holder.epochOf(TARGET)?.number ?? 0
  );
  const request = book.takeOwnership(
    TARGET,
    "writers",
    names,
    nowMs,
    { epochNumber: Math.max(...known), mayReport: false },
  );
  for (const name of names) {
    const answer = holders[name]!.answerCollect(request);
    book.noteCollectAnswer(name, answer, nowMs);
  }
  return request;
}

function admit(
  book: OwnedTargets,
  name: string,
  holder: PermitHolder,
  nowMs: number,
): number | undefined {
  const permitId = holder.createPermitRequest(TARGET, "a", nowMs);
  const answer = book.answer(name, { permitId, target: TARGET }, nowMs);
  if (answer?.kind !== "granted") {
    holder.noteRefusal(permitId);
    return undefined;
  }
  if (holder.noteGrant(answer, nowMs) !== "usable") return undefined;
  return holder.start(permitId, nowMs) ? permitId : undefined;
}

describe("permits of a target", () => {
  it("end at the limit and come back with their return", () => {
    const book = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(book, { a: holder }, 0);
    const asks = Array.from({ length: 6 }, () => admit(book, "a", holder, 10));
    expect(asks.filter((ask) => ask !== undefined)).toHaveLength(LIMIT);
    holder.end(asks[0]!);
    for (const entry of holder.takeReturns()) {
      book.release("a", entry.permitId, 20);
    }
    expect(admit(book, "a", holder, 30)).toBeDefined();
    expect(admit(book, "a", holder, 30)).toBeUndefined();
  });

  it("are waited for, and granted in order when one comes back", () => {
    const book = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(book, { a: holder }, 0);
    for (let ask = 0; ask < LIMIT; ask++) admit(book, "a", holder, 10);
    for (const permitId of [101, 102]) {
      const ask = { permitId: permitId, target: TARGET, waitMs: 100 };
      expect(book.answer("a", ask, 20)).toBeUndefined();
    }
    expect(book.takeLateAnswers(30)).toEqual([]);
    book.release("a", 1, 40);
    const granted = book.takeLateAnswers(40);
    expect(granted.map((late) => late.answer.permitId)).toEqual([101]);
    const [refused] = book.takeLateAnswers(121);
    expect(refused!.answer).toMatchObject({
      permitId: 102,
      reason: "at-limit",
    });
  });

  it("are counted by a new keeper before it grants", () => {
    const old = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(old, { b: holder }, 0);
    for (let ask = 0; ask < 3; ask++) admit(old, "b", holder, 10);
    const next = createBook("b", 100);
    takeover(next, { b: holder }, 100);
    expect(next.admissionOf(TARGET)!.loadRequests(100)).toBe(3);
    expect(admit(next, "b", holder, 110)).toBeDefined();
    expect(admit(next, "b", holder, 110)).toBeUndefined();
  });

  it("of an old keeper are void once a new one collected", () => {
    const old = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(old, { b: holder }, 0);
    const permitId = holder.createPermitRequest(TARGET, "a", 10);
    const answer = old.answer("b", { permitId, target: TARGET }, 10);
    if (answer?.kind !== "granted") throw new Error("no permit");
    holder.noteGrant(answer, 11);
    takeover(createBook("b", 12), { b: holder }, 12);
    expect(holder.start(permitId, 13)).toBe(false);
    const lateId = holder.createPermitRequest(TARGET, "a", 14);
    const late = old.answer("b", { permitId: lateId, target: TARGET }, 15);
    if (late?.kind !== "granted") throw new Error("no permit");
    expect(holder.noteGrant(late, 16)).toBe("stale-epoch");
  });

  it("make a replaced keeper drop its state when a holder says so", () => {
    const old = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(old, { b: holder }, 0);
    takeover(createBook("b", 10), { b: holder }, 10);
    const epoch = holder.epochOf(TARGET)!;
    const answer = { kind: "newer-epoch", target: TARGET, epoch } as const;
    old.noteCollectAnswer("b", answer, 20);
    expect(old.droppedTargets()).toEqual([TARGET]);
    takeover(old, { b: holder }, 500);
    expect(old.isGranting(TARGET, 500)).toBe(true);
  });

  it("cannot be started after their end on the holder's clock", () => {
    const book = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(book, { a: holder }, 0);
    const permitId = holder.createPermitRequest(TARGET, "a", 10);
    const answer = book.answer("a", { permitId, target: TARGET }, 200);
    if (answer?.kind !== "granted") throw new Error("no permit");
    expect(holder.noteGrant(answer, 300)).toBe("usable");
    expect(holder.start(permitId, 1_010)).toBe(false);
    expect(holder.takeReturns()).toEqual([
      { target: TARGET, owner: "a", permitId: permitId },
    ]);
  });

  it("are not granted by a keeper that was paused beyond its limit", () => {
    const book = createBook("a", 0);
    const holder = new PermitHolder();
    takeover(book, { a: holder }, 0);
    const resumedAtMs = DEFAULT_OWNED_TARGETS_OPTIONS.pauseLimitMs + 1;
    expect(admit(book, "a", holder, resumedAtMs)).toBeUndefined();
    takeover(book, { a: holder }, resumedAtMs);
    expect(admit(book, "a", holder, resumedAtMs)).toBeDefined();
  });

  it("of a silent holder are covered by the target's own count", () => {
    const book = createBook("a", 0);
    const holder = new PermitHolder();
    const request = book.takeOwnership(TARGET, "writers", ["a", "gone"], 0);
    const answer = holder.answerCollect(request);
    book.noteCollectAnswer("a", answer, 0);
    expect(admit(book, "a", holder, 100)).toBeUndefined();
    for (let nowMs = 150; nowMs <= 1_200; nowMs += 50) book.noteAlive(nowMs);
    const early = { loadRequests: 0, measuredAtMs: 990 };
    book.noteTargetReport(TARGET, early, 1_200);
    expect(admit(book, "a", holder, 1_200)).toBeUndefined();
    const report = { loadRequests: 3, measuredAtMs: 1_000 };
    book.noteTargetReport(TARGET, report, 1_200);
    expect(admit(book, "a", holder, 1_201)).toBeDefined();
    expect(admit(book, "a", holder, 1_202)).toBeUndefined();
  });

  it("keep counting for a holder that is gone, until the target reports", () => {
    const book = createBook("a", 0);
    const [here, gone] = [new PermitHolder(), new PermitHolder()];
    takeover(book, { a: here, b: gone }, 0);
    for (let ask = 0; ask < LIMIT; ask++) admit(book, "b", gone, 10);
    book.noteHolderGone("b", 20);
    expect(admit(book, "a", here, 30)).toBeUndefined();
    for (let nowMs = 500; nowMs <= 1_500; nowMs += 500) book.noteAlive(nowMs);
    const report = { loadRequests: 1, measuredAtMs: 1_450 };
    book.noteTargetReport(TARGET, report, 1_500);
    expect(admit(book, "a", here, 1_501)).toBeDefined();
  });
});
