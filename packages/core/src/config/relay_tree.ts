import { orderByRendezvous } from "../hash/index.ts";

/** Daemons of a zone that watch the platform for the others. */
export const RELAY_COUNT = 3;
/** Daemons that each daemon of a zone passes a new set on to. */
export const RELAY_FAN_OUT = 2;

const TREE_KEY = "config-relay";

/** The place of one daemon on the way of a new set through its zone. */
export interface RelayPlace {
  /** Whether it watches the platform itself. */
  readonly isRelay: boolean;
  /** The daemons that it tells of a new set. */
  readonly children: readonly string[];
}

/**
 * Arranges the daemons of a zone as a tree with the relays at its top. Daemons
 * that know different members build different trees; a daemon that is missed
 * hears of the set when it next asks another.
 */
export function findRelayPlace(
  self: string,
  zoneDaemons: readonly string[],
): RelayPlace {
  const order = orderByRendezvous(TREE_KEY, zoneDaemons);
  const index = order.indexOf(self);
  // A daemon that is not listed yet depends on nobody to tell it.
  if (index < 0) return { isRelay: true, children: [] };
  const firstChild = index * RELAY_FAN_OUT + 1;
  return {
    isRelay: index < RELAY_COUNT,
    children: order.slice(firstChild, firstChild + RELAY_FAN_OUT),
  };
}
