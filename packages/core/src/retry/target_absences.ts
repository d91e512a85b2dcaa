/** Times for which targets want no requests of this daemon. */
export class TargetAbsences {
  readonly #untilMs = new Map<string, number>();

  /** Names of the targets with a recorded time, which may have passed. */
  get targets(): Iterable<string> {
    return this.#untilMs.keys();
  }

  /** Records that a target wants no requests for `forMs`. */
  record(target: string, forMs: number, nowMs: number): void {
    const untilMs = this.#untilMs.get(target) ?? -Infinity;
    this.#untilMs.set(target, Math.max(untilMs, nowMs + forMs));
  }

  /** Forgets the time of a process that no longer runs under the name. */
  forget(target: string): void {
    this.#untilMs.delete(target);
  }

  isAway(target: string, nowMs: number): boolean {
    return this.#remainingMs(target, nowMs) > 0;
  }

  /**
   * Time until the first of `targets` takes requests again, in ms; undefined
   * where one takes them now, or where there are none.
   */
  firstReturnMs(targets: Iterable<string>, nowMs: number): number | undefined {
    let firstMs: number | undefined;
    for (const target of targets) {
      const remainingMs = this.#remainingMs(target, nowMs);
      if (remainingMs === 0) return undefined;
      firstMs = Math.min(firstMs ?? Infinity, remainingMs);
    }
    return firstMs;
  }

  #remainingMs(target: string, nowMs: number): number {
    const untilMs = this.#untilMs.get(target);
    if (untilMs === undefined) return 0;
    if (nowMs < untilMs) return untilMs - nowMs;
    this.#untilMs.delete(target);
    return 0;
  }
}
