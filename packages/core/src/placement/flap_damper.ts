/** Settings of a `FlapDamper`. */
export interface FlapDamperOptions {
  /** Departures older than this are forgotten. */
  readonly windowMs: number;
  /** Departures within the window that a target may have unpunished. */
  readonly toleratedDepartures: number;
  /** Length of the first probation; each further departure doubles it. */
  readonly firstProbationMs: number;
  readonly maxProbationMs: number;
}

/** Settings for targets that restart within minutes. */
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
 * Hysteresis for targets that leave and come back. A target that left once
 * has its place again at its return, because its cache may be intact. One
 * that keeps leaving is placed last until it has stayed for its probation, so
 * that its chats remain with the second target of their order.
 */
export class FlapDamper {
  readonly #options: FlapDamperOptions;
  readonly #records = new Map<string, FlapRecord>();

  constructor(options: FlapDamperOptions = DEFAULT_FLAP_DAMPER_OPTIONS) {
    this.#options = options;
  }

  /** Notes that a target without an announced departure stopped serving. */
  noteDeparture(target: string, nowMs: number): void {
    const record = this.#records.get(target) ??
      { departuresMs: [], returnedAtMs: nowMs };
    record.departuresMs = record.departuresMs.filter((departureMs) =>
      nowMs - departureMs < this.#options.windowMs
    );
    record.departuresMs.push(nowMs);
    this.#records.set(target, record);
  }

  /** Notes that a target serves again. */
  noteReturn(target: string, nowMs: number): void {
    const record = this.#records.get(target);
    if (record) record.returnedAtMs = nowMs;
  }

  /** Whether the target is to be placed last at `nowMs`. */
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

  /** Drops the records of targets that are gone for good. */
  forget(target: string): void {
    this.#records.delete(target);
  }
}
