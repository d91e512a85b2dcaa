import { ByteBudget, type ByteHolding, planByteBudget } from "./index.ts";
import { expect, test } from "@jest/globals";

function newBudget() {
  const evicted: string[] = [];
  const budget = new ByteBudget({
    totalBytes: 2000,
    requestShare: 0.5,
    responseShare: 0.5,
  });
  const open = (
    name: string,
    nowMs: number,
    kind: "request" | "response" = "request",
  ): ByteHolding => budget.open(kind, () => evicted.push(name), nowMs);
  return { budget, evicted, open };
}

test("what is charged returns to zero by discharge, release and eviction", () => {
  const { budget, evicted, open } = newBudget();
  const first = open("first", 0);
  const second = open("second", 0);
  first.charge(400, 0);
  second.charge(500, 0);
  first.discharge(100, 1);
  expect(budget.heldBytes("request")).toBe(800);
  first.release();
  first.release();
  first.charge(50, 2);
  expect(budget.heldBytes("request")).toBe(500);
  second.charge(501, 3);
  expect(evicted).toEqual(["second"]);
  second.charge(5, 4);
  second.release();
  expect(budget.heldBytes("request")).toBe(0);
  expect(budget.evictions("request")).toBe(1);
});

test("a holding above the whole share is evicted alone", () => {
  const { evicted, open } = newBudget();
  open("idle", 0).charge(900, 0);
  open("huge", 5000).charge(1001, 5000);
  expect(evicted).toEqual(["huge"]);
});

test("load of one kind leaves the other kind's share free", () => {
  const { budget, evicted, open } = newBudget();
  const response = open("response", 0, "response");
  response.charge(1000, 0);
  for (let i = 0; i < 20; i++) open(`request ${i}`, i).charge(200, i);
  expect(evicted).not.toContain("response");
  expect(budget.heldBytes("response")).toBe(1000);
  expect(budget.heldBytes("request")).toBeLessThanOrEqual(1000);
});

test("of equal holdings the one without progress is evicted", () => {
  const { evicted, open } = newBudget();
  const moving = open("moving", 0);
  moving.charge(100, 0);
  open("stopped", 50).charge(400, 50);
  moving.charge(300, 1000);
  open("new", 1000).charge(300, 1000);
  expect(evicted).toEqual(["stopped"]);
});

test("single bytes do not count as progress of a large body", () => {
  const { evicted, open } = newBudget();
  const trickling = open("trickling", 0);
  trickling.charge(400, 0);
  const whole = open("whole", 500);
  whole.charge(400, 500);
  for (let nowMs = 1; nowMs < 1000; nowMs++) trickling.charge(0.1, nowMs);
  open("new", 1000).charge(300, 1000);
  expect(evicted).toEqual(["trickling"]);
});

test("an unread response ranks before one that its client reads", () => {
  const { evicted, open } = newBudget();
  const read = open("read", 0, "response");
  read.charge(600, 0);
  open("unread", 100, "response").charge(350, 100);
  read.discharge(250, 1000);
  open("new", 1000, "response").charge(400, 1000);
  expect(evicted).toEqual(["unread"]);
});

test("small requests are evicted last however long they wait", () => {
  const { budget, evicted, open } = newBudget();
  for (let i = 0; i < 10; i++) open("small", 0).charge(10, 0);
  for (let i = 0; i < 50; i++) open("large", 60_000).charge(300, 60_000);
  expect(evicted).not.toContain("small");
  expect(budget.evictions("request")).toBe(47);
});

test("an eviction may open and release holdings", () => {
  const { budget } = newBudget();
  const other = budget.open("request", () => {}, 0);
  other.charge(100, 0);
  const evicted = budget.open("request", () => {
    other.release();
    budget.open("request", () => {}, 1).charge(900, 1);
  }, 0);
  evicted.charge(901, 0);
  expect(budget.heldBytes("request")).toBe(900);
});

test("the plan has room for a body and a response of 4 MiB", () => {
  const bodyBytes = 4_194_304;
  for (const memoryMb of [64, 202, 602]) {
    const budget = new ByteBudget(planByteBudget(memoryMb * 1_000_000));
    for (const kind of ["request", "response"] as const) {
      expect(budget.limitBytes(kind)).toBeGreaterThan(1.5 * bodyBytes);
    }
  }
});
