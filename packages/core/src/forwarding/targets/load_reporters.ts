import { orderByRendezvous } from "../../hash/index.ts";

/**
 * Daemons that announce the load of one target. Of 138 daemons many see the same
 * sign within the time in which an announcement spreads; each announcement costs
 * a message to every daemon. A few are enough where some are lost.
 */
const REPORTERS_PER_TARGET = 6;

/**
 * Whether this daemon is one of those that announce the load of a target which
 * reports how long its work takes. Such loads change many times a second.
 */
export function isLoadReporter(
  incarnation: string,
  self: string,
  peers: readonly string[],
): boolean {
  if (peers.length < REPORTERS_PER_TARGET) return true;
  return orderByRendezvous(incarnation, [self, ...peers])
    .slice(0, REPORTERS_PER_TARGET)
    .includes(self);
}
