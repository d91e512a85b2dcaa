import { pickByRendezvous } from "../hash/index.ts";

/** Maximum duration of a grant. */
export const MAX_SUSPECT_GRANT_MS = 120_000;

interface Grant {
  readonly holder: string;
  readonly untilMs: number;
}

/**
 * Finds the daemon that decides which suspect may run on a target. The arbiter
 * is the first of the live daemons by rendezvous hashing, so daemons with the
 * same membership view choose the same arbiter.
 */
export function findSuspectArbiter(
  target: string,
  liveDaemons: readonly string[],
): string | undefined {
  return pickByRendezvous(target, liveDaemons);
}

/**
 * The grants of one arbiter: at most one suspect at a time per target. A grant
 * ends on release, or when it expires because its holder may have died. Daemons
 * may disagree on the arbiter for a while. That only makes suspects harder to
 * tell apart. The number of targets that a request can crash is limited by its
 * crash count, not by the grants.
 */
export class SuspectGrants {
  readonly #byTarget = new Map<string, Grant>();

  /** Grants the target to `holder`; a repeated call has no further effect. */
  tryGrant(
    target: string,
    holder: string,
    durationMs: number,
    nowMs: number,
  ): boolean {
    const existing = this.#byTarget.get(target);
    const isTaken = existing !== undefined && existing.holder !== holder &&
      nowMs < existing.untilMs;
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
