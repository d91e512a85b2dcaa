import { describe, expect, it } from "@jest/globals";
import { SlotLine } from "./slot_line.ts";
import type { SlotRequest } from "./slot_request.ts";

function request(id: string, fields: Partial<SlotRequest> = {}): SlotRequest {
  return {
    id,
    rank: 0,
    team: "a",
    deadlineAtMs: 10_000,
    objectiveAtMs: 5_000,
    expectedWorkMs: 100,
    mayWaitUntilMs: 10_000,
    ...fields,
  };
}

/** A line of one slot and one request in the queue of the target, both taken. */
function fullLine(): SlotLine {
  const line = new SlotLine(1, 0);
  for (const id of ["x", "y"]) {
    expect(line.request(request(id), 0).kind).toBe("execute");
  }
  return line;
}

describe("SlotLine", () => {
  // Guards against a lost daemon that occupies its slots for ever.
  it("frees slots that are never released, after a bounded time", () => {
    const line = fullLine();
    expect(line.request(request("z"), 0).kind).toBe("wait");
    expect(line.expire(500).execute).toEqual([]);
    expect(line.expire(1_000).execute).toEqual(["z"]);
    expect(line.executing).toBe(1);
  });

  // Guards against two slots for one request whose message was repeated.
  it("answers a repeated message in the same way", () => {
    const line = fullLine();
    const first = line.request(request("z"), 0);
    expect(line.request(request("z"), 10)).toEqual(first);
    expect(line.request(request("x"), 10).kind).toBe("execute");
    expect([line.executing, line.waiting]).toEqual([2, 1]);
  });

  // Guards against a slot for a request whose daemon has ended its wait.
  it("executes no request whose wait is over", () => {
    const line = fullLine();
    const decision = line.request(request("z", { mayWaitUntilMs: 300 }), 0);
    expect(decision).toEqual({ kind: "wait", untilMs: 300 });
    expect(line.release("x", 300)).toEqual([]);
    expect(line.expire(300).reject.map(({ id }) => id)).toEqual(["z"]);
  });

  // Guards against late requests that delay those which can be in time.
  it("serves requests that can meet their objective first", () => {
    const line = fullLine();
    line.request(request("late", { objectiveAtMs: 50 }), 0);
    line.request(request("in time", { rank: 3 }), 0);
    expect(line.release("x", 10)).toEqual(["in time"]);
  });

  it("rejects at once what could not start in time", () => {
    const line = fullLine();
    const decision = line.request(request("z", { deadlineAtMs: 120 }), 0);
    const retryAfterMs = decision.kind === "reject" ? decision.retryAfterMs : 0;
    expect(retryAfterMs).toBeGreaterThanOrEqual(20);
    expect(retryAfterMs).toBeLessThanOrEqual(40);
  });

  // Guards against a full line that keeps cheap requests and rejects urgent ones.
  it("rejects the waiting request that costs least when it is full", () => {
    const line = new SlotLine(1, 0, { maxWaiting: 2 });
    for (const id of ["x", "y"]) line.request(request(id), 0);
    line.request(request("low", { rank: 5 }), 0);
    line.request(request("high"), 0);
    expect(line.request(request("lower", { rank: 6 }), 0).kind).toBe("reject");
    expect(line.request(request("higher"), 0).kind).toBe("wait");
    expect(line.hasRejections).toBe(true);
    expect(line.expire(0).reject.map(({ id }) => id)).toEqual(["low"]);
  });

  // Guards against clients that all return at the same moment.
  it("spreads retry times in order of cost within a third of the time", () => {
    const line = new SlotLine(0, 0);
    const retryMs = [0, 1, 2, 3].map((index) => {
      const decision = line.request(request(`r${index}`), 0);
      return decision.kind === "reject" ? decision.retryAfterMs : 0;
    });
    expect(new Set(retryMs).size).toBe(4);
    for (const ms of retryMs) expect(ms).toBeLessThanOrEqual(10_000 / 3);
  });

  it("gives out slots that a change of the capacity or a cancellation frees", () => {
    const line = fullLine();
    line.request(request("z"), 0);
    line.request(request("w"), 0);
    line.cancel("x");
    expect(line.expire(1).execute).toEqual(["z"]);
    line.setCapacity(2, 2.5);
    expect(line.expire(2).execute).toEqual(["w"]);
    line.setCapacity(0, 1);
    expect(line.request(request("v"), 3).kind).toBe("reject");
  });

  it("keeps a bounded state under any number of requests", () => {
    const line = new SlotLine(4, 0);
    for (let index = 0; index < 3_000; index++) {
      line.request(request(`r${index}`, { team: `t${index}` }), index / 10);
    }
    expect(line.waiting).toBeLessThanOrEqual(64);
    expect(line.executing).toBe(5);
    expect(line.expire(300).reject.length).toBeLessThanOrEqual(128);
  });
});
