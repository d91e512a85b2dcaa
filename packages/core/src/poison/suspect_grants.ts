import { pickByRendezvous } from "../hash/index.ts";

/** Longest time that a suspect may hold a target for itself. */
export const MAX_SUSPECT_GRANT_MS = 120_000;

interface Grant {
  readonly holder: string;
  readonly untilMs: number;
}

/**
 * The daemon that decides which suspect may run on a target: the first of the
 * live daemons by rendezvous hashing, so that all that see the same daemons
 * ask the same one.
 */
export function findSuspectArbiter(
  target: string,
  liveDaemons: readonly string[],
): string | undefined {
  return pickByRendezvous(target, liveDaemons);
}

/**
 * The grants that one arbiter has given: at most one suspect at a time on each
 * target. A grant ends when it is released, or with its time, since its holder
 * may have died. Views may disagree on the arbiter for a while; that only makes
 * suspects harder to tell apart, and how many targets a request can crash rests
 * on the count of its crashes.
 */
export class SuspectGrants {
  readonly #byTarget = new Map<string, Grant>();

  /** Grants the target to `holder`; asking twice is the same as once. */
  tryGrant(
    target: string,
    holder: string,
    durationMs: number,
    nowMs: number,
  ): boolean {
    const present = this.#byTarget.get(target);
    const isTaken = present !== undefined && present.holder !== holder &&
      nowMs < present.untilMs;
    if (isTaken) return false;
    const untilMs = nowMs + Math.min(durationMs, MAX_SUSPECT_GRANT_MS);
    this.#byTarget.set(target, { holder, untilMs });
    return true;
  }

  release(target: string, holder: string): void {
    if (this.#byTarget.get(target)?.holder !== holder) return;
    this.#byTarget.delete(target);
  }
}
