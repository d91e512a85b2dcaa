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
export class HomeOrder {
  /** The first of the order is the last part's home. */
  readonly #ranked: readonly Candidate[];
  readonly #oldestBornAtMs: number;

  /** `candidates` serve or left shortly before. */
  constructor(partId: string, candidates: readonly Candidate[]) {
    const partHash = hash32(partId);
    const scored = candidates.map((candidate) => ({
      candidate,
      score: mixHash32(partHash, candidate.incarnationHash),
    }));
    scored.sort((a, b) => b.score - a.score || compareNames(a, b));
    this.#ranked = scored.map(({ candidate }) => candidate);
    this.#oldestBornAtMs = Math.min(
      ...candidates.map(({ target }) => target.bornAtMs),
    );
  }

  /** The first of the order that is one of `serving`. */
  first(serving: ReadonlySet<Candidate>): Candidate | undefined {
    return this.#ranked.find((candidate) => serving.has(candidate));
  }

  /**
   * The targets that were the home before `home`: those of a higher rank,
   * which are leaving, and, where the home came later than the first targets,
   * the first one that was there before it.
   */
  formerHomes(home: Candidate): Candidate[] {
    const rank = this.#ranked.indexOf(home);
    const former = this.#ranked.slice(0, Math.max(0, rank));
    const { bornAtMs } = home.target;
    if (bornAtMs <= this.#oldestBornAtMs + COHORT_MS) return former;
    const older = this.#ranked.slice(rank + 1).find(({ target }) =>
      target.bornAtMs < bornAtMs
    );
    if (older) former.push(older);
    return former;
  }
}

function compareNames(
  left: { readonly candidate: Candidate },
  right: { readonly candidate: Candidate },
): number {
  const [a, b] = [left, right].map(({ candidate }) =>
    candidate.target.incarnation
  );
  return a! < b! ? -1 : 1;
}
