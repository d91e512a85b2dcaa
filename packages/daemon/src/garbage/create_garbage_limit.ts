import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { planByteBudget } from "@coltsfootford/core";
import { GarbageLimit } from "./garbage_limit.ts";

/** The limits on the garbage of a process. */
export interface GarbageLimits {
  /** For buffers. */
  readonly buffers: GarbageLimit;
  /** For the heap of V8. Each collection goes through the whole heap. */
  readonly heap: GarbageLimit;
}

/**
 * Bounds the garbage of this process by the part of its memory that the byte
 * budget leaves free for it, or returns undefined if there is no memory limit.
 */
export function createGarbageLimits(
  memoryLimitBytes: number | undefined,
): GarbageLimits | undefined {
  if (memoryLimitBytes === undefined) return undefined;
  const { totalBytes } = planByteBudget(memoryLimitBytes);
  // Node.js offers the collector only behind this flag of V8.
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const create = (kind: "arrayBuffers" | "heapUsed") =>
    new GarbageLimit({
      maxGarbageBytes: totalBytes / 2,
      readBytes: () => process.memoryUsage()[kind],
      collect,
    });
  return { buffers: create("arrayBuffers"), heap: create("heapUsed") };
}
