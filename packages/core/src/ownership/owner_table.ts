import { hash32, mixHash32 } from "../hash/index.ts";

/**
 * Most targets of a pool that one daemon keeps as a whole. It knows the load of
 * the pool exactly then, while the keepers of a larger pool know one another's
 * loads by reports.
 */
export const WHOLE_POOL_TARGETS = 64;

/** A target that needs a keeper. */
export interface OwnedTarget {
  readonly name: string;
  readonly availabilityZone: string;
  readonly pool: string;
}

/** A daemon that may keep targets. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** The keeper of a target. */
export interface TargetOwner {
  readonly vm: string;
  /** Whether the target's own zone has no daemon that could keep it. */
  readonly isFallback: boolean;
}

interface ScoredName {
  readonly name: string;
  readonly hash: number;
}

/** Targets whose keepers are worked out together. */
interface TargetGroup {
  /** Name of the pool that one daemon keeps as a whole, if any. */
  readonly wholePool: string | undefined;
  readonly names: string[];
  /** Zones with targets of the group. */
  readonly zones: Set<string>;
}

interface GroupAssignment {
  /** Daemons and targets that the assignment was worked out from. */
  readonly fingerprint: string;
  readonly owners: ReadonlyMap<string, TargetOwner>;
}

/**
 * Which daemon keeps which target. The targets of a small pool all have the
 * same keeper, by rendezvous hashing over the daemons of the pool's zones. Those
 * of a larger pool are spread by rendezvous hashing over the daemons of their
 * own zone, so that a daemon that leaves moves only its own targets; a zone
 * without daemons is served by the next zone in order of name. Groups whose
 * members did not change are not worked out again.
 */
export class OwnerTable {
  readonly #wholePoolTargets: number;
  #groups = new Map<string, GroupAssignment>();
  #owners = new Map<string, TargetOwner>();

  /** Pools of at most `wholePoolTargets` are kept as a whole; 0 for none. */
  constructor(wholePoolTargets = WHOLE_POOL_TARGETS) {
    this.#wholePoolTargets = wholePoolTargets;
  }

  /** Works the assignment out again and tells whether it changed. */
  update(
    targets: Iterable<OwnedTarget>,
    daemons: Iterable<OwnerCandidate>,
  ): boolean {
    const daemonsByZone = groupDaemons(daemons);
    const targetGroups = groupTargets([...targets], this.#wholePoolTargets);
    const groups = new Map<string, GroupAssignment>();
    let hasChanged = this.#groups.size !== targetGroups.size;
    for (const [key, group] of targetGroups) {
      const zones = findOwnerZones(group, daemonsByZone);
      const vms = zones.flatMap((zone) => daemonsByZone.get(zone) ?? []).sort();
      const fingerprint = JSON.stringify([zones, vms, group.names]);
      const known = this.#groups.get(key);
      if (known?.fingerprint === fingerprint) {
        groups.set(key, known);
        continue;
      }
      const isFallback = !zones.some((zone) => group.zones.has(zone));
      const owners = assign(group, vms, isFallback);
      groups.set(key, { fingerprint, owners: owners });
      hasChanged = true;
    }
    this.#groups = groups;
    if (hasChanged) this.#collectOwners();
    return hasChanged;
  }

  /** The keeper of a target; undefined where no daemon is known at all. */
  ownerOf(target: OwnedTarget): TargetOwner | undefined {
    return this.#owners.get(target.name);
  }

  /** Names of the targets that `vm` keeps. */
  targetsOf(vm: string): string[] {
    const names: string[] = [];
    for (const [name, owner] of this.#owners) {
      if (owner.vm === vm) names.push(name);
    }
    return names;
  }

  #collectOwners(): void {
    this.#owners = new Map();
    for (const { owners: owners } of this.#groups.values()) {
      for (const [name, owner] of owners) this.#owners.set(name, owner);
    }
  }
}

/** Puts small pools in a group of their own, all other targets by zone. */
function groupTargets(
  targets: readonly OwnedTarget[],
  wholePoolTargets: number,
): Map<string, TargetGroup> {
  const poolSizes = new Map<string, number>();
  for (const { pool } of targets) {
    poolSizes.set(pool, (poolSizes.get(pool) ?? 0) + 1);
  }
  const groups = new Map<string, TargetGroup>();
  for (const { name, availabilityZone, pool } of targets) {
    const isWhole = poolSizes.get(pool)! <= wholePoolTargets;
    const key = isWhole ? `pool ${pool}` : `zone ${availabilityZone}`;
    const group = groups.get(key) ?? {
      wholePool: isWhole ? pool : undefined,
      names: [],
      zones: new Set<string>(),
    };
    groups.set(key, group);
    group.names.push(name);
    group.zones.add(availabilityZone);
  }
  for (const group of groups.values()) group.names.sort();
  return groups;
}

/** The group's own zones, else the next one by name that has daemons. */
function findOwnerZones(
  group: TargetGroup,
  daemonsByZone: ReadonlyMap<string, readonly string[]>,
): string[] {
  const own = [...group.zones].filter((zone) => daemonsByZone.has(zone)).sort();
  if (own.length > 0) return own;
  const zones = [...daemonsByZone.keys()].sort();
  const first = [...group.zones].sort()[0]!;
  const next = zones.find((zone) => zone > first) ?? zones[0];
  return next === undefined ? [] : [next];
}

function assign(
  group: TargetGroup,
  vms: readonly string[],
  isFallback: boolean,
): Map<string, TargetOwner> {
  const candidates = vms.map((name) => ({ name, hash: hash32(name) }));
  const owners = new Map<string, TargetOwner>();
  for (const name of group.names) {
    const vm = pickOwner(hash32(group.wholePool ?? name), candidates);
    if (vm !== undefined) owners.set(name, { vm, isFallback });
  }
  return owners;
}

/** The candidates are sorted by name, so equal scores go to the first name. */
function pickOwner(
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

function groupDaemons(
  daemons: Iterable<OwnerCandidate>,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const { vm, availabilityZone } of daemons) {
    const group = groups.get(availabilityZone) ?? [];
    group.push(vm);
    groups.set(availabilityZone, group);
  }
  return groups;
}
