import { type ReportedLoad, type TimerService } from "@coltsfootford/core";

export const SLOTS = 6;
/** Requests that wait beyond the slots; later ones are rejected. */
const QUEUE = 24;
const WORK_MS = 43;

/** A model of a plain target whose machine is shared. */
export class ContendedTarget {
  /** How long an execution takes, as a multiple of the usual. */
  slowdown = 1;
  readonly #timer: TimerService;
  readonly #waiting: (() => void)[] = [];
  #running = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  get load(): ReportedLoad {
    return {
      runningRequests: this.#running,
      waitingRequests: this.#waiting.length,
      slots: SLOTS,
      slowdown: this.slowdown,
    };
  }

  /** Returns whether the target accepts the request. */
  accept(onEnd: () => void): boolean {
    if (this.#waiting.length >= QUEUE) return false;
    if (this.#running < SLOTS) this.#execute(onEnd);
    else this.#waiting.push(() => this.#execute(onEnd));
    return true;
  }

  #execute(onEnd: () => void): void {
    this.#running += 1;
    this.#timer.after(WORK_MS * this.slowdown, () => {
      onEnd();
      this.#running -= 1;
      this.#waiting.shift()?.();
    });
  }
}
