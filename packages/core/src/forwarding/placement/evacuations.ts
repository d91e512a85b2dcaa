import { z } from "zod";

/**
 * How long an evacuation that a restored store no longer holds stays in force.
 * An operator who removes a key that the store has lost causes no change that
 * daemons could follow, so it has to end by itself.
 */
export const LOST_EVACUATION_TTL_MS = 600_000;

/** Longest accepted name of a zone. */
const MAX_ZONE_LENGTH = 200;

/** An evacuation that the store has lost, as daemons pass it on. */
export const LostEvacuationSchema = z.object({
  zone: z.string().min(1).max(MAX_ZONE_LENGTH),
  /** Remaining time for which it stays in force. */
  leftMs: z.number().nonnegative().max(LOST_EVACUATION_TTL_MS),
});
export type LostEvacuation = z.infer<typeof LostEvacuationSchema>;

/**
 * The availability zones that operators have evacuated. An evacuation ends when
 * its key is removed; one that is missing in a restored store was not removed.
 */
export class Evacuations {
  #stored: ReadonlySet<string> = new Set();
  /** Zones whose keys were lost with a restored store. */
  readonly #lostUntilMs = new Map<string, number>();

  /** Applies all zones that the store holds now. */
  update(zones: ReadonlySet<string>, isRestored: boolean, nowMs: number): void {
    for (const zone of this.#stored) {
      if (zones.has(zone) || !isRestored) continue;
      this.#lostUntilMs.set(zone, nowMs + LOST_EVACUATION_TTL_MS);
    }
    for (const zone of zones) this.#lostUntilMs.delete(zone);
    this.#stored = zones;
  }

  /** Records what another daemon knows; what the store holds goes first. */
  recordLost({ zone, leftMs }: LostEvacuation, nowMs: number): void {
    if (this.#stored.has(zone) || this.#lostUntilMs.has(zone)) return;
    this.#lostUntilMs.set(zone, nowMs + leftMs);
  }

  lost(nowMs: number): LostEvacuation[] {
    return [...this.#lostUntilMs]
      .map(([zone, untilMs]) => ({ zone, leftMs: untilMs - nowMs }))
      .filter(({ leftMs }) => leftMs > 0);
  }

  inForce(nowMs: number): ReadonlySet<string> {
    const lost = this.lost(nowMs).map(({ zone }) => zone);
    return new Set([...this.#stored, ...lost]);
  }
}
