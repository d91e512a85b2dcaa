import { hash32, mixHash32 } from "../../hash/index.ts";
import type { Candidate } from "./choose_target.ts";

/** Targets that started within this time count as one cohort. */
const COHORT_MS = 10_000;

/**
 * Orders the targets for one prompt part by rendezvous hashing. The first
 * serving target is the preferred target (affinity), to which all daemons send
 * the part. The order depends on the names alone, so daemons with the same
 * targets agree without messages, also after a restart.
 */
export class PreferredTargetOrder {
  readonly #candidates: readonly Candidate[];
  readonly #partHash: number;

  /** `candidates` are serving or left recently. */
  constructor(partId: string, candidates: readonly Candidate[]) {
    this.#candidates = candidates;
    this.#partHash = hash32(partId);
  }

  /** The preferred target: the first in order that is one of `serving`. */
  first(serving: ReadonlySet<Candidate>): Candidate | undefined {
    return this.#findFirst((candidate) => serving.has(candidate));
  }

  /**
   * The targets that were preferred before `preferred`. These are the leaving
   * targets of a higher rank. If `preferred` started later than the first
   * cohort, the list ends with the highest-ranked older target below it, the
   * likely predecessor.
   */
  formerPreferredTargets(preferred: Candidate): Candidate[] {
    const former = this.#candidates.filter((candidate) =>
      this.#isBefore(candidate, preferred)
    );
    const { bornAtMs } = preferred.target;
    let oldestBornAtMs = Infinity;
    for (const { target } of this.#candidates) {
      oldestBornAtMs = Math.min(oldestBornAtMs, target.bornAtMs);
    }
    if (bornAtMs <= oldestBornAtMs + COHORT_MS) return former;
    const older = this.#findFirst((candidate) =>
      candidate.target.bornAtMs < bornAtMs &&
      !this.#isBefore(candidate, preferred)
    );
    if (older) former.push(older);
    return former;
  }

  #findFirst(
    matches: (candidate: Candidate) => boolean,
  ): Candidate | undefined {
    let first: Candidate | undefined;
    for (const candidate of this.#candidates) {
      if (!matches(candidate)) continue;
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
