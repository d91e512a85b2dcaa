/** Options of a `FlapDamper`. */
export interface FlapDamperOptions {
  /** Age above which a departure no longer counts. */
  readonly windowMs: number;
  /** Departures within the window that cause no probation. */
  readonly toleratedDepartures: number;
  /** Length of the first probation; each further departure doubles it. */
  readonly firstProbationMs: number;
  readonly maxProbationMs: number;
}

/** Options for targets that restart within minutes. */
export const DEFAULT_FLAP_DAMPER_OPTIONS: FlapDamperOptions = {
  windowMs: 600_000,
  toleratedDepartures: 1,
  firstProbationMs: 30_000,
  maxProbationMs: 300_000,
};

interface FlapRecord {
  departuresMs: number[];
  returnedAtMs: number;
}

/**
 * Hysteresis for targets that leave and return. A target that left once gets
 * its position in the order back immediately, because its cache may be intact.
 * A target that leaves repeatedly is ordered last until it has served for its
 * probation period, so that its chats stay with the second target of their
 * order.
 */
export class FlapDamper {
  readonly #options: FlapDamperOptions;
  readonly #records = new Map<string, FlapRecord>();

  constructor(options: FlapDamperOptions = DEFAULT_FLAP_DAMPER_OPTIONS) {
    this.#options = options;
  }

  /** Records that a target stopped serving without announcing it. */
  recordDeparture(target: string, nowMs: number): void {
    const record = this.#records.get(target) ??
      { departuresMs: [], returnedAtMs: nowMs };
    record.departuresMs = record.departuresMs.filter((departureMs) =>
      nowMs - departureMs < this.#options.windowMs
    );
    record.departuresMs.push(nowMs);
    this.#records.set(target, record);
  }

  /** Records that a target serves again. */
  recordReturn(target: string, nowMs: number): void {
    const record = this.#records.get(target);
    if (record) record.returnedAtMs = nowMs;
  }

  /** Whether the target is on probation, so that it is ordered last. */
  isOnProbation(target: string, nowMs: number): boolean {
    const record = this.#records.get(target);
    if (!record) return false;
    const recent = record.departuresMs.filter((departureMs) =>
      nowMs - departureMs < this.#options.windowMs
    );
    const excess = recent.length - this.#options.toleratedDepartures;
    if (excess <= 0) return false;
    const probationMs = Math.min(
      this.#options.maxProbationMs,
      this.#options.firstProbationMs * 2 ** (excess - 1),
    );
    return nowMs - record.returnedAtMs < probationMs;
  }

  /** Drops the record of a target that is permanently gone. */
  remove(target: string): void {
    this.#records.delete(target);
  }
}
