import { orderByRendezvous } from "../../hash/index.ts";

/** A daemon that may own the limit of a target. */
export interface LimitOwnerCandidate {
  readonly name: string;
  /** Undefined where the daemon has not stated it. */
  readonly availabilityZone: string | undefined;
}

/** Who hands out a target's limit; `own`: each daemon for itself. */
export type LimitRole = "owner" | "substitute" | "own";

/** Rate that remains at a limit of zero, so that its end is noticed. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Share of the substitute, which is asked where the owner can't be reached. */
const SUBSTITUTE_SHARE = 0.25;
/** Share of all daemons together that reach neither. */
const OWN_SHARE = 0.15;

/** Shares of all daemons and roles together. */
export const TOTAL_SHARE = 1 + SUBSTITUTE_SHARE + OWN_SHARE;

/**
 * The requests a second that one daemon hands out. Owner and substitute may both
 * be in use while daemons disagree on who lives, so the shares add up.
 */
export function shareOfLimit(
  requestsPerSecond: number,
  role: LimitRole,
  daemons: number,
): number {
  const limit = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  if (role === "owner") return limit;
  if (role === "substitute") return limit * SUBSTITUTE_SHARE;
  return limit * OWN_SHARE / Math.max(1, daemons);
}

/**
 * The daemons that hand out the limit of a target: the owner and its substitute.
 * Daemons of the target's availability zone come first, since only they reach it
 * if the zone is cut off.
 */
export function limitOwners(
  target: { readonly incarnation: string; readonly availabilityZone: string },
  daemons: readonly LimitOwnerCandidate[],
): string[] {
  const { incarnation, availabilityZone } = target;
  const order = (isInZone: boolean) =>
    orderByRendezvous(
      incarnation,
      daemons.filter((daemon) =>
        (daemon.availabilityZone === availabilityZone) === isInZone
      ).map(({ name }) => name),
    );
  const inZone = order(true);
  if (inZone.length >= 2) return inZone.slice(0, 2);
  return [...inZone, ...order(false)].slice(0, 2);
}
