import { Writable } from "node:stream";
import type { ServerResponse } from "node:http";
import { beforeEach, describe, expect, it } from "@jest/globals";
import { ByteBudget, VirtualTimerService } from "@coltsfootford/core";
import { HeldBytes } from "./held_bytes.ts";
import { MAX_UNREAD_MS, ResponseWriter } from "./response_writer.ts";

const SHARE_BYTES = 1_000_000;
const PIECE = Buffer.alloc(65_536, "a");

let timer: VirtualTimerService;
let budget: ByteBudget;
let outgoing: Writable;
let writer: ResponseWriter;
let stalls: number;
let receivedBytes: number;
/** Reads one part of what was written. */
let read: () => void;

beforeEach(() => {
  timer = new VirtualTimerService();
  budget = new ByteBudget({
    totalBytes: 2 * SHARE_BYTES,
    requestShare: 0.5,
    responseShare: 0.5,
  });
  stalls = 0;
  receivedBytes = 0;
  outgoing = new Writable({
    write: (chunk: Buffer, _, callback) => {
      read = () => {
        receivedBytes += chunk.length;
        callback();
      };
    },
  });
  writer = new ResponseWriter(
    outgoing as unknown as ServerResponse,
    new HeldBytes(budget, "response", timer),
    timer,
    () => stalls += 1,
  );
});

const settle = () => new Promise((resolve) => setImmediate(resolve));

describe("ResponseWriter", () => {
  // Guards against a response that waits for its client without an end.
  it("reports a client that takes nothing", () => {
    for (let at = 0; at < 3; at++) writer.write(PIECE);
    writer.end();
    timer.advance(MAX_UNREAD_MS);
    expect(stalls).toBe(1);
  });

  // Guards against memory that is held until the last byte was read, and
  // against slow clients that are taken for stalled ones.
  it("discharges piece by piece as a slow client reads", async () => {
    for (let at = 0; at < 3; at++) expect(writer.write(PIECE)).toBe(false);
    writer.end();
    let heldBytes = budget.heldBytes("response");
    for (let at = 0; at < 3; at++) {
      timer.advance(MAX_UNREAD_MS - 1);
      read();
      await settle();
      expect(budget.heldBytes("response")).toBeLessThan(heldBytes);
      heldBytes = budget.heldBytes("response");
    }
    timer.advance(MAX_UNREAD_MS);
    expect(stalls).toBe(0);
    expect(heldBytes).toBe(0);
    expect(receivedBytes).toBe(3 * PIECE.length);
    expect(outgoing.writableFinished).toBe(true);
  });

  // Guards against a stream that is cut because its target is silent.
  it("does not report a client that has read all so far", async () => {
    writer.write(Buffer.from("an event"));
    read();
    await settle();
    timer.advance(2 * MAX_UNREAD_MS);
    expect(stalls).toBe(0);
  });

  // Guards against complete responses that are lost with a half-closed
  // connection.
  it("gives all of a complete response to the connection at once", () => {
    for (let at = 0; at < 3; at++) writer.write(PIECE);
    writer.flush();
    expect(outgoing.writableEnded).toBe(false);
    writer.end();
    writer.flush();
    expect(outgoing.writableEnded).toBe(true);
    expect(outgoing.writableLength).toBe(3 * PIECE.length);
  });
});
