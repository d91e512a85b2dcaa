/** Age of relayed knowledge from which relays of other zones are asked too. */
const SUSPECT_AFTER_MS = 1_600;
/** Age of relayed knowledge from which a daemon follows the store itself. */
const FOLLOW_AFTER_MS = 2_000;
/** Time for which relays have to be reliable before it stops to do so. */
const RETURN_AFTER_MS = 5_000;

/** The input of a `StoreSource`. */
export interface SourceObservation {
  readonly isRelay: boolean;
  /** Whether other daemons of the zone relay the store. */
  readonly hasRelays: boolean;
  /** Until when the relayed knowledge is known to be current. */
  readonly currentAsOfMs: number;
  readonly nowMs: number;
}

/**
 * Decides whether a daemon follows the store itself or by the relays of its
 * zone. Relays tell how old what they know is, so one that can't reach the store,
 * or that gets its knowledge from such a one, is found by its age.
 */
export class StoreSource {
  #followsStore = true;
  #reliableSinceMs: number | undefined;
  /** Relays that were never reliable are tried at once. */
  #hasFallenBack = false;

  /** Whether the daemon follows the store itself. */
  get followsStore(): boolean {
    return this.#followsStore;
  }

  observe(observation: SourceObservation): void {
    const { isRelay, hasRelays, currentAsOfMs, nowMs } = observation;
    if (isRelay || !hasRelays) {
      this.#followsStore = true;
      this.#reliableSinceMs = undefined;
      this.#hasFallenBack = false;
      return;
    }
    const ageMs = nowMs - currentAsOfMs;
    if (ageMs >= SUSPECT_AFTER_MS) this.#reliableSinceMs = undefined;
    else this.#reliableSinceMs ??= nowMs;
    if (!this.#followsStore) {
      if (ageMs < FOLLOW_AFTER_MS) return;
      this.#followsStore = true;
      this.#hasFallenBack = true;
      return;
    }
    if (this.#reliableSinceMs === undefined) return;
    const reliableMs = nowMs - this.#reliableSinceMs;
    if (this.#hasFallenBack && reliableMs < RETURN_AFTER_MS) return;
    this.#followsStore = false;
  }

  /** Whether what the relays of the zone tell may be outdated. */
  isSuspect({ currentAsOfMs, nowMs }: SourceObservation): boolean {
    return nowMs - currentAsOfMs >= SUSPECT_AFTER_MS;
  }
}
