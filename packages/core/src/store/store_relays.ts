import { orderByRendezvous } from "../hash/index.ts";

/** A daemon that may relay the store's changes. */
export interface RelayCandidate {
  readonly name: string;
  /** Undefined where the daemon has not stated it. */
  readonly availabilityZone?: string | undefined;
}

/** Which daemons follow the store for a daemon. */
export interface StoreRelays {
  /** Whether the daemon itself follows the store for its zone. */
  readonly isRelay: boolean;
  /** Relays of its zone, in the order in which it uses them. */
  readonly ownZone: readonly string[];
  /** Relays of the other zones, in the order in which it uses them. */
  readonly otherZones: readonly string[];
}

/** Daemons of an availability zone that follow the store. */
const RELAYS_PER_ZONE = 2;

/**
 * Selects the relays by rendezvous hashing over the daemons of each zone. Daemons
 * with other lists select other relays, which costs calls and nothing else.
 */
export function selectStoreRelays(
  self: RelayCandidate,
  peers: readonly RelayCandidate[],
): StoreRelays {
  const byZone = new Map<string, string[]>();
  for (const { name, availabilityZone = "" } of [self, ...peers]) {
    byZone.set(availabilityZone, [
      ...(byZone.get(availabilityZone) ?? []),
      name,
    ]);
  }
  const ownZone = self.availabilityZone ?? "";
  const relaysOf = (zone: string) =>
    orderByRendezvous(zone, byZone.get(zone) ?? []).slice(0, RELAYS_PER_ZONE);
  const own = relaysOf(ownZone);
  const others = [...byZone.keys()].filter((zone) => zone !== ownZone)
    .flatMap(relaysOf);
  return {
    isRelay: own.includes(self.name),
    // Each daemon begins with another relay, so that they share the work.
    ownZone: orderByRendezvous(self.name, own)
      .filter((name) => name !== self.name),
    otherZones: orderByRendezvous(self.name, others),
  };
}
