/**
 * Detects from the gap between two ticks that the process was paused. Its state
 * is then stale, and other daemons may have taken over its roles.
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

  /** The last tick before the current pause; undefined without one. */
  get pausedSinceMs(): number | undefined {
    return this.#pausedSinceMs;
  }

  /** Records a tick and returns whether a pause of the process preceded it. */
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

  /** Ends the wait, because the zone has responded since the pause. */
  confirm(): void {
    this.#pausedSinceMs = undefined;
    this.#rejoinUntilMs = undefined;
  }

  /**
   * Whether this process may act on its state. This is false even before the
   * first tick after a pause, whichever callback runs first.
   */
  isAwake(nowMs: number): boolean {
    if (this.#lastTickMs === undefined) return false;
    if (this.#pausedSinceMs !== undefined) return false;
    return nowMs - this.#lastTickMs <= this.#pauseLimitMs;
  }
}
