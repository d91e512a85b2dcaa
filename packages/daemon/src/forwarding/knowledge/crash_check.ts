import { connect } from "node:net";
import type { RegisteredTarget, TimerService } from "@coltsfootford/core";

/** Time within which a crashed target has closed its port. */
const SETTLE_MS = 50;
/** A live target accepts within a few milliseconds, from any zone. */
const CONNECT_TIMEOUT_MS = 300;
/** Failures of one target within this time are attributed to the same crash. */
const RESULT_TTL_MS = 1_000;

/** Distinguishes the crash of a target from a lost connection to it. */
export class CrashCheck {
  readonly #timer: TimerService;
  readonly #results = new Map<string, Promise<boolean>>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Whether the target's address no longer accepts connections. */
  isDown(target: RegisteredTarget): Promise<boolean> {
    const { incarnation } = target;
    const cached = this.#results.get(incarnation);
    if (cached) return cached;
    const result = this.#check(target);
    this.#results.set(incarnation, result);
    this.#timer.after(RESULT_TTL_MS, () => this.#results.delete(incarnation));
    return result;
  }

  async #check({ host, port }: RegisteredTarget): Promise<boolean> {
    await new Promise<void>((resolve) => {
      this.#timer.after(SETTLE_MS, resolve);
    });
    return await new Promise((resolve) => {
      const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
      const finish = (isDown: boolean) => {
        socket.destroy();
        resolve(isDown);
      };
      socket.once("connect", () => finish(false));
      socket.once("timeout", () => finish(true));
      socket.once("error", () => finish(true));
    });
  }
}
