const TIME_CONSTANT_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Event rate as an exponential moving average over two seconds. */
export class RateMeter {
  #ratePerMs = 0;
  #updatedAtMs: number | undefined;

  /** Records one event. */
  record(nowMs: number): void {
    this.#decay(nowMs);
    this.#ratePerMs += 1 / TIME_CONSTANT_MS;
  }

  /** Events per second at `nowMs`. */
  perSecond(nowMs: number): number {
    this.#decay(nowMs);
    return this.#ratePerMs * MS_PER_SECOND;
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs);
    this.#ratePerMs *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    this.#updatedAtMs = nowMs;
  }
}
