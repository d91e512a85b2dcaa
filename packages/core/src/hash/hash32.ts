import createXxhash from "xxhash-wasm";

const xxhash = await createXxhash();

/** The 32-bit xxHash of a string, as an unsigned integer. */
export function hash32(text: string): number {
  return xxhash.h32(text);
}

/**
 * Mixes two 32-bit hashes into one with the finalizer of MurmurHash3. This
 * avoids a string hash for every pair of key and name in rendezvous hashing,
 * where the hashes of both are computed already.
 */
export function mixHash32(left: number, right: number): number {
  let hash = (left ^ Math.imul(right, 0x9e3779b1)) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
