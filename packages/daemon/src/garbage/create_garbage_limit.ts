import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { planByteBudget } from "@coltsfootford/core";
import { GarbageLimit } from "./garbage_limit.ts";

/**
 * Bounds the garbage of this process by the part of its memory that the byte
 * budget leaves free for it, or returns undefined if there is no memory limit.
 */
export function createGarbageLimit(
  memoryLimitBytes: number | undefined,
): GarbageLimit | undefined {
  if (memoryLimitBytes === undefined) return undefined;
  const { totalBytes } = planByteBudget(memoryLimitBytes);
  // Node.js offers the collector only behind this flag of V8.
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  return new GarbageLimit({
    // The sockets and the heap of V8 take the other half.
    maxGarbageBytes: totalBytes / 2,
    readBufferBytes: () => process.memoryUsage().arrayBuffers,
    collect,
  });
}
