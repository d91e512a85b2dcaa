import type { ByteBudgetOptions } from "./byte_budget.ts";

const MIB = 1024 * 1024;
/** What a daemon uses that holds nothing for clients: 60 to 110 MB. */
export const BASE_BYTES = 110_000_000;
/**
 * The part of the rest that may be held. V8 collects buffers only after some 64
 * MB of garbage; 0.4 left no room for both shares in full at 202 MB.
 */
const HELD_SHARE = 0.3;
/** Room for a body and a response of 4 MiB each, whatever the memory is. */
const MIN_TOTAL_BYTES = 16 * MIB;

/** The byte budget of a daemon on a machine with this memory. */
export function planByteBudget(memoryLimitBytes: number): ByteBudgetOptions {
  const freeBytes = (memoryLimitBytes - BASE_BYTES) * HELD_SHARE;
  return {
    totalBytes: Math.max(MIN_TOTAL_BYTES, Math.floor(freeBytes)),
    requestShare: 0.5,
    responseShare: 0.5,
  };
}
