/**
 * Notices from the gap between two ticks that the process was stopped. What
 * it knew before is then old, and others may have taken its roles over.
 */
export class PauseGuard {
  readonly #pauseLimitMs: number;
  readonly #rejoinWaitMs: number;
  #lastTickMs: number | undefined;
  #pausedSinceMs: number | undefined;
  #rejoinUntilMs: number | undefined;

  constructor(pauseLimitMs: number, rejoinWaitMs: number) {
    this.#pauseLimitMs = pauseLimitMs;
    this.#rejoinWaitMs = rejoinWaitMs;
  }

  /** The last tick before a pause that is not yet over, or undefined. */
  get pausedSinceMs(): number | undefined {
    return this.#pausedSinceMs;
  }

  /** Notes a tick and tells whether a pause ended with it. */
  tick(nowMs: number): boolean {
    const lastTickMs = this.#lastTickMs ?? nowMs;
    this.#lastTickMs = nowMs;
    if (nowMs - lastTickMs > this.#pauseLimitMs) {
      this.#pausedSinceMs = lastTickMs;
      this.#rejoinUntilMs = nowMs + this.#rejoinWaitMs;
      return true;
    }
    const isOver = this.#rejoinUntilMs !== undefined &&
      nowMs >= this.#rejoinUntilMs;
    if (isOver) this.confirm();
    return false;
  }

  /** Ends the wait, because the zone has answered since the pause. */
  confirm(): void {
    this.#pausedSinceMs = undefined;
    this.#rejoinUntilMs = undefined;
  }

  /**
   * Tells whether this process may act on what it holds. It is false already
   * before the first tick after a pause, whatever runs first.
   */
  isAwake(nowMs: number): boolean {
    if (this.#lastTickMs === undefined) return false;
    if (this.#pausedSinceMs !== undefined) return false;
    return nowMs - this.#lastTickMs <= this.#pauseLimitMs;
  }
}
