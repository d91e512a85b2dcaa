import { hash32, mixHash32 } from "../hash/index.ts";
import type { RosterTarget } from "./target_roster.ts";

/** Targets that were started together count as one cohort. */
const COHORT_MS = 10_000;
/** Changes of the targets are remembered for this time. */
const HISTORY_MS = 120_000;
/** Most changes that are remembered, for pools that flap. */
const MAX_EPOCHS = 400;
/** Most parts whose home is remembered; the oldest are dropped first. */
const MAX_HOMES = 50_000;

interface Member {
  readonly incarnation: string;
  readonly hash: number;
}

/** The targets of a service between two changes. */
interface Epoch {
  readonly atMs: number;
  readonly targets: readonly RosterTarget[];
  readonly members: readonly Member[];
  readonly names: ReadonlySet<string>;
}

interface Home {
  incarnation: string | undefined;
  /** The home before the last move; undefined where there was none. */
  former: string | undefined;
  /** Number of the epoch up to which the home was followed. */
  epoch: number;
}

/**
 * The home of each part of a prompt: the target to which all daemons send it.
 * A part stays at its home until that target leaves, and goes then, by
 * rendezvous hashing, to one of those that are there at that moment. So a new
 * target moves no home, and one that leaves moves only its own. Daemons that
 * saw the same changes agree without a word, also on parts new to them.
 */
export class HomeHistory {
  readonly #homes = new Map<string, Home>();
  #epochs: Epoch[] = [];
  #firstBornAtMs = Infinity;
  /** The number of the first epoch that is still there. */
  #firstEpoch = 0;

  /** Takes in the targets that there are now. */
  noteTargets(targets: readonly RosterTarget[], nowMs: number): void {
    const isSame = this.#epochs.at(-1)?.names.size === targets.length &&
      targets.every(({ incarnation }) =>
        this.#epochs.at(-1)?.names.has(incarnation)
      );
    if (isSame) return;
    if (this.#epochs.length === 0) {
      const oldest = findOldestCohort(targets);
      if (oldest.length < targets.length) this.#push(oldest, nowMs);
    }
    this.#push(targets, nowMs);
    this.#addLateFounders(targets);
    this.#dropOld(nowMs);
  }

  /**
   * Targets that start together register one after the other, and daemons see
   * that in different steps. Those of the first cohort count as there from the
   * beginning.
   */
  #addLateFounders(targets: readonly RosterTarget[]): void {
    const first = this.#epochs[0]!;
    for (const { bornAtMs } of targets) {
      this.#firstBornAtMs = Math.min(this.#firstBornAtMs, bornAtMs);
    }
    const late = targets.filter(({ incarnation, bornAtMs }) =>
      !first.names.has(incarnation) &&
      bornAtMs <= this.#firstBornAtMs + COHORT_MS
    );
    if (late.length === 0) return;
    this.#homes.clear();
    this.#epochs = this.#epochs.map((epoch) =>
      createEpoch([...epoch.targets, ...late], epoch.atMs)
    );
  }

  /** The home of a part; undefined while there are no targets. */
  homeOf(partId: string): string | undefined {
    const home = this.#homes.get(partId) ??
      { incarnation: undefined, former: undefined, epoch: this.#firstEpoch };
    const keyHash = hash32(partId);
    const end = this.#firstEpoch + this.#epochs.length;
    for (
      let epoch = Math.max(home.epoch, this.#firstEpoch);
      epoch < end;
      epoch++
    ) {
      const { names, members } = this.#epochs[epoch - this.#firstEpoch]!;
      if (home.incarnation !== undefined && names.has(home.incarnation)) {
        continue;
      }
      home.former = home.incarnation;
      home.incarnation = pickMember(keyHash, members);
    }
    home.epoch = end;
    this.#homes.delete(partId);
    this.#homes.set(partId, home);
    this.#dropOldestHome();
    return home.incarnation;
  }

  /** The home that the part had before its last move, if it moved. */
  formerHomeOf(partId: string): string | undefined {
    this.homeOf(partId);
    return this.#homes.get(partId)?.former;
  }

  #push(targets: readonly RosterTarget[], atMs: number): void {
    this.#epochs.push(createEpoch(targets, atMs));
  }

  /** The last epoch always stays. */
  #dropOld(nowMs: number): void {
    while (this.#epochs.length > 1) {
      const isOld = nowMs - this.#epochs[1]!.atMs > HISTORY_MS;
      if (!isOld && this.#epochs.length <= MAX_EPOCHS) return;
      this.#epochs.shift();
      this.#firstEpoch += 1;
    }
  }

  #dropOldestHome(): void {
    if (this.#homes.size <= MAX_HOMES) return;
    const oldest = this.#homes.keys().next();
    if (!oldest.done) this.#homes.delete(oldest.value);
  }
}

/**
 * A daemon that starts saw no changes. It takes the oldest targets for those
 * that were there first, since targets that came later took no homes.
 */
function findOldestCohort(targets: readonly RosterTarget[]) {
  const firstBornAtMs = Math.min(...targets.map(({ bornAtMs }) => bornAtMs));
  const cohort = targets.filter(({ bornAtMs }) =>
    bornAtMs <= firstBornAtMs + COHORT_MS
  );
  return cohort.length * 2 >= targets.length ? cohort : targets;
}

function createEpoch(targets: readonly RosterTarget[], atMs: number): Epoch {
  const byName = new Map(targets.map((one) => [one.incarnation, one]));
  const members = [...byName.keys()].map((incarnation) => ({
    incarnation,
    hash: hash32(incarnation),
  }));
  const names = new Set(byName.keys());
  return { atMs, targets: [...byName.values()], members, names };
}

function pickMember(
  keyHash: number,
  members: readonly Member[],
): string | undefined {
  let best: string | undefined;
  let highest = -1;
  for (const { incarnation, hash } of members) {
    const score = mixHash32(keyHash, hash);
    if (score <= highest) continue;
    highest = score;
    best = incarnation;
  }
  return best;
}
