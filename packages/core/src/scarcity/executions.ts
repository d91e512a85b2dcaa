/** An execution that has not been released. */
interface Execution {
  readonly startedAtMs: number;
  /** Expected duration without what `durationFactor` has learned. */
  readonly nominalMs: number;
  /** After this time the execution counts as lost. */
  readonly boundAtMs: number;
}

/**
 * An execution that is not released within this multiple of its expected
 * duration has been lost with its daemon.
 */
const BOUND_FACTOR = 4;
/** Lower limit of the bound, because short executions vary more. */
const MIN_BOUND_MS = 1_000;
/** Upper limit of the time for which a lost daemon occupies slots. */
const MAX_BOUND_MS = 60_000;
/** Weight of the newest execution in the moving average of the durations. */
const DURATION_WEIGHT = 0.05;
/** Limits what a single execution changes, such as one that was cached. */
const MAX_DURATION_RATIO = 4;

/** The executions at a target, and how long they take. */
export class Executions {
  readonly #executions = new Map<string, Execution>();
  /** Moving average of actual durations, divided by the expected ones. */
  #durationRatio = 1;
  #nominalSumMs = 0;

  get size(): number {
    return this.#executions.size;
  }

  get durationRatio(): number {
    return this.#durationRatio;
  }

  /** Mean expected duration of the executions. */
  get meanDurationMs(): number {
    if (this.size === 0) return 0;
    return this.#nominalSumMs * this.#durationRatio / this.size;
  }

  has(id: string): boolean {
    return this.#executions.has(id);
  }

  start(id: string, nominalMs: number, nowMs: number): void {
    const boundMs = BOUND_FACTOR * nominalMs * this.#durationRatio;
    this.#executions.set(id, {
      startedAtMs: nowMs,
      nominalMs,
      boundAtMs: nowMs +
        Math.min(MAX_BOUND_MS, Math.max(MIN_BOUND_MS, boundMs)),
    });
    this.#nominalSumMs += nominalMs;
  }

  /** Records the end of an execution and its duration. */
  end(id: string, nowMs: number): void {
    const execution = this.remove(id);
    if (!execution || execution.nominalMs <= 0) return;
    const ratio = (nowMs - execution.startedAtMs) / execution.nominalMs;
    const limited = Math.min(
      MAX_DURATION_RATIO,
      Math.max(1 / MAX_DURATION_RATIO, ratio),
    );
    this.#durationRatio += DURATION_WEIGHT * (limited - this.#durationRatio);
  }

  remove(id: string): Execution | undefined {
    const execution = this.#executions.get(id);
    if (!execution) return undefined;
    this.#executions.delete(id);
    this.#nominalSumMs = this.size === 0
      ? 0
      : this.#nominalSumMs - execution.nominalMs;
    return execution;
  }

  /** Removes the executions that count as lost. */
  expire(nowMs: number): void {
    for (const [id, { boundAtMs }] of this.#executions) {
      if (boundAtMs <= nowMs) this.remove(id);
    }
  }
}
