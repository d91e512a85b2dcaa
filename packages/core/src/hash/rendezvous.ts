import { hash32, mixHash32 } from "./hash32.ts";

/**
 * Orders `names` by rendezvous hashing for `key`. Every process with the same
 * names gets the same order, and removing a name moves only the keys of that
 * name.
 */
export function orderByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const keyHash = hash32(key);
  const scored = names.map((name) => ({
    name,
    score: mixHash32(keyHash, hash32(name)),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map((entry) => entry.name);
}

/** The first name of `orderByRendezvous`, or undefined without names. */
export function pickByRendezvous(
  key: string,
  names: readonly string[],
): string | undefined {
  const keyHash = hash32(key);
  let best: string | undefined;
  let bestScore = -1;
  for (const name of names) {
    const score = mixHash32(keyHash, hash32(name));
    if (score < bestScore) continue;
    if (score === bestScore && best !== undefined && best < name) continue;
    best = name;
    bestScore = score;
  }
  return best;
}
