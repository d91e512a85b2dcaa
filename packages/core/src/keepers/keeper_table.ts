import { hash32, mixHash32 } from "../hash/index.ts";

/**
 * Most targets of a pool that one daemon keeps as a whole. It knows the load of
 * the pool exactly then, while the keepers of a larger pool know one another's
 * loads by reports.
 */
export const WHOLE_POOL_TARGETS = 64;

/** A target that needs a keeper. */
export interface KeptTarget {
  readonly name: string;
  readonly availabilityZone: string;
  readonly pool: string;
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
  readonly keepers: ReadonlyMap<string, Keeper>;
}

/**
 * Which daemon keeps which target. The targets of a small pool all have the
 * same keeper, by rendezvous hashing over the daemons of the pool's zones. Those
 * of a larger pool are spread by rendezvous hashing over the daemons of their
 * own zone, so that a daemon that leaves moves only its own targets; a zone
 * without daemons is served by the next zone in order of name. Groups whose
 * members did not change are not worked out again.
 */
export class KeeperTable {
  readonly #wholePoolTargets: number;
  #groups = new Map<string, GroupAssignment>();
  #keepers = new Map<string, Keeper>();

  /** Pools of at most `wholePoolTargets` are kept as a whole; 0 for none. */
  constructor(wholePoolTargets = WHOLE_POOL_TARGETS) {
    this.#wholePoolTargets = wholePoolTargets;
  }

  /** Works the assignment out again and tells whether it changed. */
  update(
    targets: Iterable<KeptTarget>,
    daemons: Iterable<KeeperCandidate>,
  ): boolean {
    const daemonsByZone = groupDaemons(daemons);
    const targetGroups = groupTargets([...targets], this.#wholePoolTargets);
    const groups = new Map<string, GroupAssignment>();
    let hasChanged = this.#groups.size !== targetGroups.size;
    for (const [key, group] of targetGroups) {
      const zones = findKeeperZones(group, daemonsByZone);
      const vms = zones.flatMap((zone) => daemonsByZone.get(zone) ?? []).sort();
      const fingerprint = JSON.stringify([zones, vms, group.names]);
      const known = this.#groups.get(key);
      if (known?.fingerprint === fingerprint) {
        groups.set(key, known);
        continue;
      }
      const isFallback = !zones.some((zone) => group.zones.has(zone));
      const keepers = assign(group, vms, isFallback);
      groups.set(key, { fingerprint, keepers });
      hasChanged = true;
    }
    this.#groups = groups;
    if (hasChanged) this.#collectKeepers();
    return hasChanged;
  }

  /** The keeper of a target; undefined where no daemon is known at all. */
  keeperOf(target: KeptTarget): Keeper | undefined {
    return this.#keepers.get(target.name);
  }

  /** Names of the targets that `vm` keeps. */
  targetsOf(vm: string): string[] {
    const names: string[] = [];
    for (const [name, keeper] of this.#keepers) {
      if (keeper.vm === vm) names.push(name);
    }
    return names;
  }

  #collectKeepers(): void {
    this.#keepers = new Map();
    for (const { keepers } of this.#groups.values()) {
      for (const [name, keeper] of keepers) this.#keepers.set(name, keeper);
    }
  }
}

/** Puts small pools in a group of their own, all other targets by zone. */
function groupTargets(
  targets: readonly KeptTarget[],
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
function findKeeperZones(
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
): Map<string, Keeper> {
  const candidates = vms.map((name) => ({ name, hash: hash32(name) }));
  const keepers = new Map<string, Keeper>();
  for (const name of group.names) {
    const vm = pickKeeper(hash32(group.wholePool ?? name), candidates);
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

function groupDaemons(
  daemons: Iterable<KeeperCandidate>,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const { vm, availabilityZone } of daemons) {
    const group = groups.get(availabilityZone) ?? [];
    group.push(vm);
    groups.set(availabilityZone, group);
  }
  return groups;
}
