import { describe, expect, it } from "@jest/globals";
import { DEFAULT_FAIR_QUEUE_SETTINGS, FairQueue } from "./fair_queue.ts";
import type { QueuedRequest } from "./team_queue.ts";

function createQueue(capacity: number, maxQueued = 100): FairQueue {
  return new FairQueue(
    { ...DEFAULT_FAIR_QUEUE_SETTINGS, maxQueued },
    capacity,
  );
}

function request(
  requestId: string,
  fields: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    requestId,
    team: "a",
    weight: 1,
    priority: 5,
    deadlineMs: 10_000,
    maxTeamRunning: Infinity,
    ...fields,
  };
}

/** Starts and finishes requests one by one and returns their ids in order. */
function drain(queue: FairQueue): string[] {
  const order: string[] = [];
  for (let nowMs = 0;; nowMs += 100) {
    const next = queue.peek(nowMs);
    if (!next) return order;
    queue.start(next, nowMs);
    order.push(next.requestId);
    queue.finish(next, nowMs + 100);
  }
}

describe("FairQueue", () => {
  it("starts teams in proportion to their weights", () => {
    const queue = createQueue(1);
    for (let index = 0; index < 30; index++) {
      queue.offer(request(`a${index}`), 0);
      queue.offer(request(`b${index}`, { team: "b", weight: 3 }), 0);
    }
    const started = drain(queue).slice(0, 20);
    const ofB = started.filter((id) => id.startsWith("b")).length;
    expect(ofB).toBeGreaterThanOrEqual(14);
    expect(ofB).toBeLessThanOrEqual(16);
  });

  it("starts a team's highest priority first, then the oldest request", () => {
    const queue = createQueue(1);
    queue.offer(request("low", { priority: 1 }), 0);
    queue.offer(request("first"), 0);
    queue.offer(request("second"), 0);
    queue.offer(request("high", { priority: 9 }), 0);
    expect(drain(queue)).toEqual(["high", "first", "second", "low"]);
  });

  it("evicts the newest request of the team with the longest queue when full", () => {
    const queue = createQueue(0, 3);
    for (const id of ["a1", "a2", "a3"]) queue.offer(request(id), 0);
    const eviction = queue.offer(request("b1", { team: "b" }), 0);
    expect(eviction?.request.requestId).toBe("a3");
    const rejected = queue.offer(request("a4"), 0);
    expect(rejected?.request.requestId).toBe("a4");
    expect(rejected?.reason).toBe("queue-full");
    expect(rejected?.retryAfterMs).toBeGreaterThan(0);
    expect(queue.queued).toBe(3);
  });

  it("immediately rejects a request that cannot start before its deadline", () => {
    const queue = createQueue(1);
    for (let index = 0; index < 20; index++) {
      queue.offer(request(`a${index}`, { deadlineMs: 1e9 }), 0);
    }
    for (let nowMs = 0; nowMs < 5_000; nowMs += 1_000) {
      const next = queue.peek(nowMs)!;
      queue.start(next, nowMs);
      queue.finish(next, nowMs + 1_000);
    }
    const rejected = queue.offer(request("late", { deadlineMs: 9_000 }), 5_000);
    expect(rejected?.reason).toBe("deadline-unreachable");
    expect(rejected?.retryAfterMs).toBeGreaterThanOrEqual(10_000);
  });

  it("does not mistake a stall of the pool for its rate", () => {
    const queue = createQueue(1);
    for (let index = 0; index < 20; index++) {
      queue.offer(request(`a${index}`, { deadlineMs: 1e9 }), 0);
    }
    for (const nowMs of [0, 8_000]) {
      const next = queue.peek(nowMs)!;
      queue.start(next, nowMs);
      queue.finish(next, nowMs + 100);
    }
    const soon = request("soon", { deadlineMs: 68_000 });
    expect(queue.offer(soon, 8_100)).toBeUndefined();
  });

  it("removes requests whose deadline has passed or whose client is gone", () => {
    const queue = createQueue(0);
    const gone = request("gone");
    queue.offer(gone, 0);
    queue.offer(request("short", { deadlineMs: 500 }), 0);
    expect(queue.cancel(gone)).toBe(true);
    expect(queue.expire(499)).toEqual([]);
    expect(queue.expire(500).map((rejection) => rejection.reason)).toEqual([
      "deadline-passed",
    ]);
    expect(queue.queued).toBe(0);
  });

  it("runs no more requests of a team than its limit", () => {
    const queue = createQueue(10);
    const limited = { maxTeamRunning: 1 };
    const first = request("a1", limited);
    queue.offer(first, 0);
    queue.offer(request("a2", limited), 0);
    queue.offer(request("b1", { team: "b" }), 0);
    queue.start(queue.peek(0)!, 0);
    expect(queue.peek(0)?.requestId).toBe("b1");
    queue.start(queue.peek(0)!, 0);
    expect(queue.peek(0)).toBeUndefined();
    queue.finish(first, 100);
    expect(queue.peek(100)?.requestId).toBe("a2");
  });

  it("holds nothing in reserve when every team surges", () => {
    const capacity = 50;
    const queue = createQueue(capacity, 10_000);
    const running: { request: QueuedRequest; endMs: number }[] = [];
    let nowMs = 0;
    for (let round = 0; round < 400; round++, nowMs += 100) {
      for (const { request } of running.filter((one) => one.endMs <= nowMs)) {
        queue.finish(request, nowMs);
      }
      for (let index = 0; index < 20; index++) {
        const id = `${round}-${index}`;
        const team = `team-${index % 5}`;
        queue.offer(request(id, { team, deadlineMs: 1e9 }), nowMs);
      }
      for (let next = queue.peek(nowMs); next; next = queue.peek(nowMs)) {
        queue.start(next, nowMs);
        running.push({ request: next, endMs: nowMs + 1_000 });
      }
    }
    expect(queue.running).toBe(capacity);
  });
});
