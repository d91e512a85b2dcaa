import type { Candidate } from "./choose_target.ts";

/** Denials after which a request goes to a target without a limit. */
const MAX_DENIALS_BESIDE_UNLIMITED = 2;
/** Denials after which a request is rejected, if all targets have limits. */
const MAX_DENIALS = 4;

/** The targets of a service, and what is known of their limits. */
export interface PermitDenialQuery {
  readonly candidates: readonly Candidate[];
  readonly isLimited: (candidate: Candidate) => boolean;
  /** Targets that were attempted, or denied a permit. */
  readonly excluded: ReadonlySet<string>;
  readonly denials: number;
}

/**
 * The targets that a request no longer considers after a target denied it a
 * permit; undefined if it is to be rejected.
 */
export function excludeAfterDenial(
  { candidates, isLimited, excluded, denials }: PermitDenialQuery,
): ReadonlySet<string> | undefined {
  const remaining = candidates.filter(({ target }) =>
    !excluded.has(target.incarnation)
  );
  const limited = remaining.filter(isLimited);
  if (limited.length === remaining.length) {
    return denials < MAX_DENIALS && limited.length > 0 ? excluded : undefined;
  }
  if (denials < MAX_DENIALS_BESIDE_UNLIMITED) return excluded;
  const names = limited.map(({ target }) => target.incarnation);
  return new Set([...excluded, ...names]);
}
