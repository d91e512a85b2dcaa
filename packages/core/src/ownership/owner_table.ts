import { hash32, mixHash32 } from "../hash/index.ts";

/**
 * Largest pool, in targets, that a single daemon owns. A single owner has the
 * exact load of the pool, while the owners of a larger pool get each other's
 * loads by reports.
 */
export const MAX_SINGLE_OWNER_TARGETS = 64;

/** A target to assign to an owner. */
export interface AssignableTarget {
  readonly name: string;
  readonly availabilityZone: string;
  readonly pool: string;
}

/** A daemon that can own targets. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly availabilityZone: string;
}

/** The owner of a target. */
export interface TargetOwner {
  readonly vm: string;
  /** Whether the target's own zone has no daemon that can own it. */
  readonly isFallback: boolean;
}

interface ScoredName {
  readonly name: string;
  readonly hash: number;
}

/** Targets that are assigned together. */
interface TargetGroup {
  /** Name of the pool if the group is a pool with a single owner. */
  readonly singleOwnerPool: string | undefined;
  readonly names: string[];
  /** Zones with targets of the group. */
  readonly zones: Set<string>;
}

interface GroupAssignment {
  /** Zones, daemons and targets that the assignment was computed from. */
  readonly fingerprint: string;
  readonly owners: ReadonlyMap<string, TargetOwner>;
}

/**
 * Assigns each target to its owner daemon. All targets of a small pool have the
 * same owner, by rendezvous hashing over the daemons of the pool's zones. The
 * targets of a larger pool are distributed by rendezvous hashing over the
 * daemons of their own zone, so that a daemon that leaves moves only its own
 * targets. The targets of a zone without daemons go to the next zone in order
 * of name. Groups without changes keep their assignment.
 */
export class OwnerTable {
  readonly #maxSingleOwnerTargets: number;
  #groups = new Map<string, GroupAssignment>();
  #owners = new Map<string, TargetOwner>();

  /**
   * Pools of at most `maxSingleOwnerTargets` get a single owner; 0 for none.
   */
  constructor(maxSingleOwnerTargets = MAX_SINGLE_OWNER_TARGETS) {
    this.#maxSingleOwnerTargets = maxSingleOwnerTargets;
  }

  /** Recomputes the assignment. Returns whether any group changed. */
  update(
    targets: Iterable<AssignableTarget>,
    daemons: Iterable<OwnerCandidate>,
  ): boolean {
    const daemonsByZone = groupDaemons(daemons);
    const targetGroups = groupTargets(
      [...targets],
      this.#maxSingleOwnerTargets,
    );
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
      groups.set(key, { fingerprint, owners });
      hasChanged = true;
    }
    this.#groups = groups;
    if (hasChanged) this.#collectOwners();
    return hasChanged;
  }

  /** The owner of a target; undefined if no daemon is known. */
  ownerOf(target: AssignableTarget): TargetOwner | undefined {
    return this.#owners.get(target.name);
  }

  /** Names of the targets that `vm` owns. */
  targetsOf(vm: string): string[] {
    const names: string[] = [];
    for (const [name, owner] of this.#owners) {
      if (owner.vm === vm) names.push(name);
    }
    return names;
  }

  #collectOwners(): void {
    this.#owners = new Map();
    for (const { owners } of this.#groups.values()) {
      for (const [name, owner] of owners) this.#owners.set(name, owner);
    }
  }
}

/** Groups the targets of small pools by pool and all other targets by zone. */
function groupTargets(
  targets: readonly AssignableTarget[],
  maxSingleOwnerTargets: number,
): Map<string, TargetGroup> {
  const poolSizes = new Map<string, number>();
  for (const { pool } of targets) {
    poolSizes.set(pool, (poolSizes.get(pool) ?? 0) + 1);
  }
  const groups = new Map<string, TargetGroup>();
  for (const { name, availabilityZone, pool } of targets) {
    const hasSingleOwner = poolSizes.get(pool)! <= maxSingleOwnerTargets;
    const key = hasSingleOwner ? `pool ${pool}` : `zone ${availabilityZone}`;
    const group = groups.get(key) ?? {
      singleOwnerPool: hasSingleOwner ? pool : undefined,
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

/** The group's zones with daemons, else the next zone by name that has some. */
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
    const vm = pickOwner(hash32(group.singleOwnerPool ?? name), candidates);
    if (vm !== undefined) owners.set(name, { vm, isFallback });
  }
  return owners;
}

/** Returns the candidate with the highest score; ties go to the first name. */
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
