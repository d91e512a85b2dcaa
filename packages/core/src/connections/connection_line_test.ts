import { beforeEach, describe, expect, it } from "@jest/globals";
import { maxClientConnections } from "./connection_limit.ts";
import {
  ConnectionLine,
  type ConnectionPhase,
  QUIET_MS,
} from "./connection_line.ts";

/** A connection whose activity a test sets. */
interface FakeConnection {
  phase: ConnectionPhase;
  receivedBytes: number;
}

let line: ConnectionLine<FakeConnection>;

beforeEach(() => {
  line = new ConnectionLine((connection) => connection);
});

function add(phase: ConnectionPhase, nowMs: number): FakeConnection {
  const connection = { phase, receivedBytes: 0 };
  line.observe(connection, nowMs);
  return connection;
}

describe("ConnectionLine", () => {
  it("closes the connection first that has been idle for longest", () => {
    add("receiving", 0);
    const first = add("idle", 1);
    const second = add("idle", 2);
    line.observe(first, 3);
    expect(line.findNext(3 + QUIET_MS)).toBe(second);
  });

  it("closes the longest without progress where none is idle", () => {
    const moving = add("receiving", 0);
    const stalled = add("receiving", 1);
    add("receiving", 2);
    moving.receivedBytes = 1;
    expect(line.findNext(2 + QUIET_MS)).toBe(stalled);
  });

  // Guards against the cut of a request that a kept-alive client is sending.
  it("spares an idle connection on which a request begins", () => {
    const sending = add("idle", 0);
    const idle = add("idle", 1);
    Object.assign(sending, { phase: "receiving", receivedBytes: 1 });
    expect(line.findNext(1 + QUIET_MS)).toBe(idle);
  });

  // Guards against a crowd of stalled bodies that makes the daemon close each
  // ordinary connection between two of its requests.
  it("closes a stalled request before a connection just become idle", () => {
    const stalled = add("receiving", 0);
    const idle = add("idle", QUIET_MS);
    expect(line.findNext(QUIET_MS)).toBe(stalled);
    line.delete(stalled);
    expect(line.findNext(QUIET_MS)).toBe(idle);
  });

  // Guards against a loop, or no choice, where all clients make progress.
  it("closes one of many that make progress", () => {
    const all = [0, 1, 2].map((nowMs) => add("receiving", nowMs));
    for (const connection of all) connection.receivedBytes += 1;
    expect(all).toContain(line.findNext(2 + QUIET_MS));
  });

  // Guards against a crowd of slow requests, each making progress, that makes
  // the daemon close each new connection.
  it("closes the oldest of many that make progress, not a new one", () => {
    const slow = [0, 1, 2].map((nowMs) => add("receiving", nowMs));
    const nowMs = 2 + QUIET_MS;
    add("receiving", nowMs);
    for (const connection of slow) connection.receivedBytes += 1;
    expect(line.findNext(nowMs)).toBe(slow[0]);
    line.delete(slow[0]!);
    expect(line.findNext(nowMs)).toBe(slow[1]);
  });

  it("never closes a connection that serves a request", () => {
    const passedOn = add("receiving", 0);
    add("serving", 0);
    passedOn.phase = "serving";
    expect(line.findNext(2 * QUIET_MS)).toBeUndefined();
    expect(line.size).toBe(2);
    passedOn.phase = "idle";
    line.observe(passedOn, 0);
    expect(line.findNext(2 * QUIET_MS)).toBe(passedOn);
  });
});

describe("maxClientConnections", () => {
  it("has no limit where neither descriptors nor memory are known", () => {
    expect(maxClientConnections({})).toBeUndefined();
  });

  it("leaves descriptors for files, targets and peers", () => {
    expect(maxClientConnections({ maxDescriptors: 2_069 })).toBe(841);
    expect(maxClientConnections({ maxDescriptors: 100 })).toBe(1);
  });

  // Guards against windows of open connections that take all of the memory.
  it("leaves memory for the process beside what connections have received", () => {
    const memoryLimitBytes = 202_000_000;
    const connections = maxClientConnections({ memoryLimitBytes })!;
    expect(connections).toBe(631);
    expect(connections * 64 * 1024).toBeLessThan(memoryLimitBytes / 4);
    expect(maxClientConnections({ memoryLimitBytes, maxDescriptors: 700 }))
      .toBe(225);
    expect(maxClientConnections({ memoryLimitBytes: 64_000_000 })).toBe(64);
  });
});
