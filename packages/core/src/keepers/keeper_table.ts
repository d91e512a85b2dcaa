import { hash32, mixHash32 } from "../hash/index.ts";

/** A target with the zone whose daemons keep it. */
export interface KeptTarget {
  readonly name: string;
  readonly availabilityZone: string;
}

/** A daemon that may keep targets. */
export interface KeeperCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** The keeper of a target. */
export interface Keeper {
  readonly vm: string;
  /** Whether the target's own zone has no daemon that could keep it. */
  readonly isFallback: boolean;
}

interface ScoredName {
  readonly name: string;
  readonly hash: number;
}

interface ZoneAssignment {
  /** Daemons and targets that the assignment was worked out from. */
  readonly fingerprint: string;
  readonly keepers: ReadonlyMap<string, Keeper>;
}

/**
 * Which daemon keeps which target: rendezvous hashing over the daemons of the
 * target's zone, so that a daemon that leaves moves only its own targets. A
 * zone without daemons is served by the next zone in order of name. Zones
 * whose members did not change are not worked out again.
 */
export class KeeperTable {
  #zones = new Map<string, ZoneAssignment>();

  /** Works the assignment out again and tells whether it changed. */
  update(
    targets: Iterable<KeptTarget>,
    daemons: Iterable<KeeperCandidate>,
  ): boolean {
    const daemonsByZone = groupByZone(daemons, (daemon) => daemon.vm);
    const targetsByZone = groupByZone(targets, (target) => target.name);
    const zones = new Map<string, ZoneAssignment>();
    let hasChanged = this.#zones.size !== targetsByZone.size;
    for (const [zone, names] of targetsByZone) {
      const keeperZone = findKeeperZone(zone, daemonsByZone);
      const vms = daemonsByZone.get(keeperZone ?? "") ?? [];
      const fingerprint = JSON.stringify([keeperZone, vms, names]);
      const known = this.#zones.get(zone);
      if (known?.fingerprint === fingerprint) {
        zones.set(zone, known);
        continue;
      }
      const keepers = assign(names, vms, keeperZone !== zone);
      zones.set(zone, { fingerprint, keepers });
      hasChanged = true;
    }
    this.#zones = zones;
    return hasChanged;
  }

  /** The keeper of a target; undefined where no daemon is known at all. */
  keeperOf(target: KeptTarget): Keeper | undefined {
    return this.#zones.get(target.availabilityZone)?.keepers.get(target.name);
  }

  /** Names of the targets that `vm` keeps. */
  targetsOf(vm: string): string[] {
    const names: string[] = [];
    for (const { keepers } of this.#zones.values()) {
      for (const [name, keeper] of keepers) {
        if (keeper.vm === vm) names.push(name);
      }
    }
    return names;
  }
}

/** The zone itself, else the next one by name that has daemons. */
function findKeeperZone(
  zone: string,
  daemonsByZone: ReadonlyMap<string, readonly string[]>,
): string | undefined {
  if (daemonsByZone.has(zone)) return zone;
  const zones = [...daemonsByZone.keys()].sort();
  return zones.find((other) => other > zone) ?? zones[0];
}

function assign(
  targetNames: readonly string[],
  vms: readonly string[],
  isFallback: boolean,
): Map<string, Keeper> {
  const candidates = vms.map((name) => ({ name, hash: hash32(name) }));
  const keepers = new Map<string, Keeper>();
  for (const name of targetNames) {
    const vm = pickKeeper(hash32(name), candidates);
    if (vm !== undefined) keepers.set(name, { vm, isFallback });
  }
  return keepers;
}

/** The candidates are sorted by name, so equal scores go to the first name. */
function pickKeeper(
  targetHash: number,
  candidates: readonly ScoredName[],
): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = mixHash32(targetHash, candidate.hash);
    if (score <= bestScore) continue;
    best = candidate.name;
    bestScore = score;
  }
  return best;
}

function groupByZone<T extends { readonly availabilityZone: string }>(
  items: Iterable<T>,
  nameOf: (item: T) => string,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const item of items) {
    const group = groups.get(item.availabilityZone) ?? [];
    group.push(nameOf(item));
    groups.set(item.availabilityZone, group);
  }
  for (const group of groups.values()) group.sort();
  return groups;
}
