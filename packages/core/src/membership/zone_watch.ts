/** When each other zone was last heard by this daemon, as its receiver. */
export class ZoneWatch {
  readonly #zoneSilentMs: number;
  readonly #heardAtMs = new Map<string, number>();

  constructor(zoneSilentMs: number) {
    this.#zoneSilentMs = zoneSilentMs;
  }

  /** Notes a message that came from a daemon of `zone`. */
  heard(zone: string, nowMs: number): void {
    this.#heardAtMs.set(zone, nowMs);
  }

  /** Forgets all silence, as after a pause of this process. */
  reset(): void {
    this.#heardAtMs.clear();
  }

  /** The silent ones of the zones that this daemon has to hear. */
  silentZones(watchedZones: readonly string[], nowMs: number): string[] {
    const watched = new Set(watchedZones);
    for (const zone of this.#heardAtMs.keys()) {
      if (!watched.has(zone)) this.#heardAtMs.delete(zone);
    }
    return watchedZones.filter((zone) => {
      const heardAtMs = this.#heardAtMs.get(zone);
      // The silence of a zone counts from when this daemon began to listen.
      if (heardAtMs === undefined) this.#heardAtMs.set(zone, nowMs);
      return heardAtMs !== undefined &&
        nowMs - heardAtMs >= this.#zoneSilentMs;
    });
  }
}
