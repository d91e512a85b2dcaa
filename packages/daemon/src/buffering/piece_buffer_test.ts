import { describe, expect, it } from "@jest/globals";
import { ByteBudget, VirtualTimerService } from "@coltsfootford/core";
import { HeldBytes } from "./held_bytes.ts";
import { PieceBuffer } from "./piece_buffer.ts";

const SHARE_BYTES = 1_000_000;

function newBuffer() {
  const budget = new ByteBudget({
    totalBytes: 2 * SHARE_BYTES,
    requestShare: 0.5,
    responseShare: 0.5,
  });
  const timer = new VirtualTimerService();
  const held = new HeldBytes(budget, "request", timer);
  return { budget, held, buffer: new PieceBuffer(held) };
}

describe("PieceBuffer", () => {
  // Guards against bytes that are lost or swapped where pieces meet.
  it.each([1, 7, 511, 513, 65_536, 200_000])(
    "keeps the content of chunks of %d bytes",
    (chunkBytes) => {
      const { buffer } = newBuffer();
      const content = Buffer.from(
        Array.from({ length: 300_000 }, (_, index) => index % 251),
      );
      for (let at = 0; at < content.length; at += chunkBytes) {
        buffer.append(content.subarray(at, at + chunkBytes));
      }
      expect(buffer.length).toBe(content.length);
      expect(Buffer.concat(buffer.pieces).equals(content)).toBe(true);
    },
  );

  // Guards against single bytes that keep a buffer of 64 KiB each alive.
  it("holds little more than what arrived in chunks of a byte", () => {
    const { budget, buffer } = newBuffer();
    const read = Buffer.alloc(65_536);
    for (let at = 0; at < 20_000; at++) {
      buffer.append(read.subarray(at, at + 1));
    }
    const memory = new Set(buffer.pieces.map((piece) => piece.buffer));
    const allocatedBytes = [...memory]
      .reduce((bytes, { byteLength }) => bytes + byteLength, 0);
    expect(allocatedBytes).toBeLessThan(2 * 20_000 + 1_024);
    expect(budget.heldBytes("request")).toBeGreaterThanOrEqual(allocatedBytes);
  });

  // Guards against content that is charged after it was dropped.
  it("discharges what it drops, and can be filled again", () => {
    const { budget, buffer } = newBuffer();
    buffer.append(Buffer.alloc(1_000));
    buffer.clear();
    expect(budget.heldBytes("request")).toBe(0);
    buffer.append(Buffer.from("more"));
    expect(Buffer.concat(buffer.pieces).toString()).toBe("more");
    buffer.release();
    expect(budget.heldBytes("request")).toBe(0);
  });

  // Guards against a client whose data still arrives after its eviction.
  it("takes nothing more once its holding was evicted", () => {
    const { budget, held, buffer } = newBuffer();
    let evictions = 0;
    held.onEvicted(() => {
      evictions += 1;
      buffer.clear();
    });
    for (let at = 0; at < 40; at++) buffer.append(Buffer.alloc(65_536));
    expect(evictions).toBe(1);
    expect(buffer.pieces).toHaveLength(0);
    expect(budget.heldBytes("request")).toBe(0);
  });
});
