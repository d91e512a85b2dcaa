import type { Candidate, Placement } from "../placement/choose_target.ts";

/** Denials after which a request goes to a target without a limit. */
const MAX_DENIALS_BESIDE_UNLIMITED = 2;
/** Denials after which a request is rejected, if all targets have limits. */
const MAX_DENIALS = 4;

/**
 * Requests in flight at a target without a limit, as a multiple of its slots,
 * from which it takes no request that others denied a permit: it would wait for
 * half of an execution or more.
 */
const MAX_LOAD_OF_ALTERNATIVE = 1.5;

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

/**
 * Whether a target is too loaded for a request that others denied a permit. What
 * their limits keep away from them would else pile up at the few targets without
 * one, until no request there meets its deadline.
 */
export function isOverloadedAlternative(
  { candidate, estimatedLoad }: Placement,
): boolean {
  return estimatedLoad + 1 > candidate.target.slots * MAX_LOAD_OF_ALTERNATIVE;
}
