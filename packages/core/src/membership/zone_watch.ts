/** Tracks when this daemon last received a message from each other zone. */
export class ZoneWatch {
  readonly #zoneSilentMs: number;
  readonly #lastMessageAtMs = new Map<string, number>();

  constructor(zoneSilentMs: number) {
    this.#zoneSilentMs = zoneSilentMs;
  }

  /** Records a message that was sent by a daemon of `zone`. */
  recordMessage(zone: string, nowMs: number): void {
    this.#lastMessageAtMs.set(zone, nowMs);
  }

  /** Clears all measured silence, for example after a pause of this process. */
  reset(): void {
    this.#lastMessageAtMs.clear();
  }

  /** Returns which of the zones that this daemon is a receiver for are silent. */
  silentZones(watchedZones: readonly string[], nowMs: number): string[] {
    const watched = new Set(watchedZones);
    for (const zone of this.#lastMessageAtMs.keys()) {
      if (!watched.has(zone)) this.#lastMessageAtMs.delete(zone);
    }
    return watchedZones.filter((zone) => {
      const lastMessageAtMs = this.#lastMessageAtMs.get(zone);
      // Silence is measured from when this daemon became a receiver.
      if (lastMessageAtMs === undefined) this.#lastMessageAtMs.set(zone, nowMs);
      return lastMessageAtMs !== undefined &&
        nowMs - lastMessageAtMs >= this.#zoneSilentMs;
    });
  }
}
