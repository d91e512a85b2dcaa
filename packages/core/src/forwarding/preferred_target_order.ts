import { hash32, mixHash32 } from "../hash/index.ts";
import type { Candidate } from "./choose_target.ts";

/** Targets that were started together count as one cohort. */
const COHORT_MS = 10_000;

/**
 * The order in which targets are the home of one part of a prompt, by
 * rendezvous hashing. The first target that serves is the home, to which all
 * daemons send the part. The order follows from the names alone, so daemons
 * that know the same targets agree without a word, also after a restart.
 */
export class PreferredTargetOrder {
  readonly #candidates: readonly Candidate[];
  readonly #partHash: number;

  /** `candidates` serve or left shortly before. */
  constructor(partId: string, candidates: readonly Candidate[]) {
    this.#candidates = candidates;
    this.#partHash = hash32(partId);
  }

  /** The first of the order that is one of `serving`. */
  first(serving: ReadonlySet<Candidate>): Candidate | undefined {
    return this.#findFirst((candidate) => serving.has(candidate));
  }

  /**
   * The targets that were the home before `home`: those of a higher rank,
   * which are leaving, and, where the home came later than the first targets,
   * the first one that was there before it.
   */
  formerHomes(home: Candidate): Candidate[] {
    const former = this.#candidates.filter((one) => this.#isBefore(one, home));
    const { bornAtMs } = home.target;
    let oldestBornAtMs = Infinity;
    for (const { target } of this.#candidates) {
      oldestBornAtMs = Math.min(oldestBornAtMs, target.bornAtMs);
    }
    if (bornAtMs <= oldestBornAtMs + COHORT_MS) return former;
    const older = this.#findFirst((one) =>
      one.target.bornAtMs < bornAtMs && !this.#isBefore(one, home)
    );
    if (older) former.push(older);
    return former;
  }

  #findFirst(
    isWanted: (candidate: Candidate) => boolean,
  ): Candidate | undefined {
    let first: Candidate | undefined;
    for (const candidate of this.#candidates) {
      if (!isWanted(candidate)) continue;
      if (!first || this.#isBefore(candidate, first)) first = candidate;
    }
    return first;
  }

  #isBefore(left: Candidate, right: Candidate): boolean {
    if (left === right) return false;
    const leftScore = mixHash32(this.#partHash, left.incarnationHash);
    const rightScore = mixHash32(this.#partHash, right.incarnationHash);
    if (leftScore !== rightScore) return leftScore > rightScore;
    return left.target.incarnation < right.target.incarnation;
  }
}
