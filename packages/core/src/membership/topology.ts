import { orderByRendezvous } from "../hash/index.ts";

/** The next `count` names after `self` in the ring of sorted names. */
export function successorsOf(
  self: string,
  sortedNames: readonly string[],
  count: number,
): string[] {
  return neighboursOf(self, sortedNames, count, 1);
}

/** The `count` names before `self` in the ring of sorted names. */
export function predecessorsOf(
  self: string,
  sortedNames: readonly string[],
  count: number,
): string[] {
  return neighboursOf(self, sortedNames, count, -1);
}

/**
 * The names to which `self` forwards changes in its zone: every name of a
 * small zone, else ring neighbours at distances that grow by powers of
 * `linkCount`, so that a change crosses n daemons in about log n steps.
 */
export function disseminationLinksOf(
  self: string,
  sortedNames: readonly string[],
  linkCount: number,
): string[] {
  const size = sortedNames.length;
  const index = sortedNames.indexOf(self);
  if (index < 0) return [];
  if (size - 1 <= linkCount) return sortedNames.filter((name) => name !== self);
  const ratio = size ** (1 / linkCount);
  const links = new Set<string>();
  for (let step = 0; step < linkCount; step++) {
    const distance = Math.max(step + 1, Math.round(ratio ** step));
    links.add(sortedNames[(index + distance) % size]!);
  }
  links.delete(self);
  return [...links];
}

/**
 * The daemons of `zone` that report to the other zones, or that receive from
 * them: by other zone, in order of rank. The order of the daemons is rotated
 * by one for each other zone, so that the work is distributed evenly.
 */
export function rolesByZone(
  role: "report" | "receive",
  zone: string,
  otherZones: readonly string[],
  liveNames: readonly string[],
  count: number,
): Map<string, string[]> {
  const ordered = orderByRendezvous(`${role} ${zone}`, liveNames);
  const roles = new Map<string, string[]>();
  otherZones.forEach((other, rotation) => {
    const holders: string[] = [];
    for (let rank = 0; rank < Math.min(count, ordered.length); rank++) {
      holders.push(ordered[(rotation + rank) % ordered.length]!);
    }
    roles.set(other, holders);
  });
  return roles;
}

function neighboursOf(
  self: string,
  sortedNames: readonly string[],
  count: number,
  direction: 1 | -1,
): string[] {
  const size = sortedNames.length;
  const index = sortedNames.indexOf(self);
  if (index < 0) return [];
  const neighbours: string[] = [];
  for (let step = 1; step <= Math.min(count, size - 1); step++) {
    const at = (index + direction * step + size * count) % size;
    neighbours.push(sortedNames[at]!);
  }
  return neighbours;
}
