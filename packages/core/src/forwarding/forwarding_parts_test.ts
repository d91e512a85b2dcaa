import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { EventFramer } from "./responses/event_frames.ts";
import type { ForwardingConfig } from "./routes/forwarding_config.ts";
import { RetryShares } from "./retries/retry_share.ts";
import { jitteredRetryAfterMs } from "./retries/retry_after.ts";
import { pickService, RouteTable } from "./routes/route_table.ts";
import {
  isWaitFutile,
  type ResponseWaitQuery,
} from "./responses/response_wait.ts";
import { TargetRecord } from "./targets/target_record.ts";

const ROUTE = {
  name: "r",
  host: "h",
  pathPrefix: "/a/",
  kind: "idempotent",
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetPauseMs: 100,
  rank: 0,
  services: [{ service: "s", weight: 1 }],
  maxTargets: 1,
  isPublic: false,
  isResumable: false,
} as const;
const CONFIG: ForwardingConfig = {
  version: 1,
  routes: [
    ROUTE,
    { ...ROUTE, name: "deep", pathPrefix: "/a/b/" },
    { ...ROUTE, name: "public", pathPrefix: "/p/", isPublic: true },
  ],
  services: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  teams: [{ name: "team", keys: ["k"], rank: undefined }],
};

describe("RouteTable", () => {
  const table = new RouteTable(CONFIG);

  it("selects the longest prefix that the path starts with", () => {
    expect(table.findRoute("h", "/a/b/c")?.name).toBe("deep");
    expect(table.findRoute("h", "/a/bc")?.name).toBe("r");
    expect(table.findRoute("h", "/a")).toBeUndefined();
    expect(table.findRoute("other", "/a/")).toBeUndefined();
  });

  it("finds teams by key and requires no key on public routes", () => {
    const privateRoute = table.findRoute("h", "/a/")!;
    const publicRoute = table.findRoute("h", "/p/")!;
    expect(table.findTeam(privateRoute, "k").kind).toBe("team");
    expect(table.findTeam(privateRoute, "x").kind).toBe("unknown-key");
    expect(table.findTeam(privateRoute, undefined).kind).toBe("unknown-key");
    expect(table.findTeam(publicRoute, "x").kind).toBe("no-team");
  });

  it("splits requests by weight, the same in every daemon", () => {
    const services = [{ service: "s", weight: 90 }, {
      service: "t",
      weight: 10,
    }];
    const route = { ...ROUTE, services };
    const picks = Array.from(
      { length: 2_000 },
      (_, at) => pickService(route, `request-${at}`),
    );
    const share = picks.filter((service) => service === "t").length / 2_000;
    expect(share).toBeGreaterThan(0.07);
    expect(share).toBeLessThan(0.13);
  });
});

describe("EventFramer", () => {
  it("returns complete events only, however the bytes are split", () => {
    const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 9 })),
      (sizes) => {
        const framer = new EventFramer();
        const bytes = Buffer.from(text);
        const frames = [];
        let at = 0;
        for (const size of [...sizes, bytes.length]) {
          frames.push(...framer.push(bytes.subarray(at, at + size)));
          at += size;
        }
        expect(frames.map(({ id }) => id)).toEqual(["1", "2"]);
        const complete = Buffer.concat([
          ...frames.map((frame) => frame.bytes),
          framer.rest,
        ]);
        expect(complete.toString()).toBe(text);
      },
    ));
  });
});

describe("TargetRecord", () => {
  it("adds its own requests to the reported load of other daemons", () => {
    const record = new TargetRecord();
    record.recordReportedLoad({
      runningRequests: 6,
      waitingRequests: 1,
      slots: 8,
    }, 0);
    expect(record.estimateLoad(0, 0)).toBe(7);
    expect(record.estimateLoad(2_000, 0)).toBe(3.5);
  });

  it("suspends an unreachable target for longer each time", () => {
    const record = new TargetRecord();
    record.suspend(0);
    expect(record.suspendedUntilMs).toBe(250);
    record.suspend(250);
    expect(record.suspendedUntilMs).toBe(750);
    record.recordOutcome("good", 750);
    record.suspend(800);
    expect(record.suspendedUntilMs).toBe(1_050);
  });

  it("decays the failure share of a target", () => {
    const record = new TargetRecord();
    record.recordOutcome("failed", 0);
    expect(record.failureShare(0)).toBeCloseTo(0.15);
    expect(record.failureShare(8_000)).toBeLessThan(0.04);
  });
});

describe("isWaitFutile", () => {
  const query: ResponseWaitQuery = {
    isRetryable: true,
    hasResponse: false,
    isStream: true,
    targetLatencyMs: 400,
    targetPauseMs: 400,
    silentMs: 950,
    targetSilentMs: 950,
    timeLeftMs: 10_000,
  };

  it("stops waiting for a stream where its target sends nothing", () => {
    expect(isWaitFutile(query)).toBe(true);
    expect(isWaitFutile({ ...query, targetSilentMs: 0 })).toBe(false);
  });

  it("never stops waiting for a request that can't be retried", () => {
    expect(isWaitFutile({ ...query, isRetryable: false })).toBe(false);
  });

  it("leaves time to retry a plain request", () => {
    const plain = { ...query, isStream: false, targetSilentMs: 0 };
    expect(isWaitFutile({ ...plain, silentMs: 220, timeLeftMs: 380 }))
      .toBe(true);
    expect(isWaitFutile({ ...plain, silentMs: 90, timeLeftMs: 510 }))
      .toBe(false);
  });
});

describe("jitteredRetryAfterMs", () => {
  it("stays within the wait that a client accepts, and is jittered", () => {
    expect(jitteredRetryAfterMs(600, 1)).toBeCloseTo(200);
    expect(jitteredRetryAfterMs(600, 0)).toBeCloseTo(100);
    expect(jitteredRetryAfterMs(60_000, 1)).toBe(1_000);
  });
});

describe("RetryShares", () => {
  it("keeps the retries of all daemons together within the bound", () => {
    const bound = { ratio: 0.2, slack: 52 };
    let retries = 0;
    const requestsEach = 500;
    for (let daemon = 0; daemon < 6; daemon++) {
      const budget = new RetryShares(() => bound, () => 6).budgetOf("s");
      for (let at = 0; at < requestsEach; at++) {
        budget.recordFirstAttempt();
        if (budget.tryConsume()) retries += 1;
      }
    }
    expect(retries).toBeLessThanOrEqual(0.2 * 6 * requestsEach + 52);
  });

  it("shrinks a share computed before other daemons were discovered", () => {
    let daemons = 1;
    const shares = new RetryShares(
      () => ({ ratio: 0.2, slack: 52 }),
      () => daemons,
    );
    for (let at = 0; at < 1_000; at++) {
      shares.budgetOf("s").recordFirstAttempt();
    }
    daemons = 13;
    let retries = 0;
    while (shares.budgetOf("s").tryConsume()) retries += 1;
    expect(retries).toBeLessThanOrEqual(52 / 13);
  });
});
