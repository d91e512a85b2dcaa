import { orderByRendezvous } from "../hash/index.ts";

/**
 * Number of daemons of a zone that watch the platform for the other daemons.
 */
export const RELAY_COUNT = 3;
/** Number of daemons to which each daemon of a zone forwards a new set. */
export const RELAY_FAN_OUT = 2;

const TREE_KEY = "config-relay";

/** Position of one daemon in the dissemination tree of its zone. */
export interface RelayRole {
  /** Whether the daemon watches the platform itself. */
  readonly isRelay: boolean;
  /** The daemons that this daemon notifies of a new set. */
  readonly children: readonly string[];
}

/**
 * Arranges the daemons of a zone as a tree with the relays at the top. Daemons
 * with different membership views build different trees. A daemon that is left
 * out receives the set at its next poll of another daemon.
 */
export function findRelayRole(
  self: string,
  zoneDaemons: readonly string[],
): RelayRole {
  const order = orderByRendezvous(TREE_KEY, zoneDaemons);
  const index = order.indexOf(self);
  // A daemon that is not listed yet has no parent and must watch the platform.
  if (index < 0) return { isRelay: true, children: [] };
  const firstChild = index * RELAY_FAN_OUT + 1;
  return {
    isRelay: index < RELAY_COUNT,
    children: order.slice(firstChild, firstChild + RELAY_FAN_OUT),
  };
}
