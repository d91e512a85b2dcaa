import { connect } from "node:net";
import type { RegisteredTarget, TimerService } from "@coltsfootford/core";

/** Time in which a target that crashed has closed its port. */
const SETTLE_MS = 50;
/** A target that lives accepts within some ms, from any zone. */
const CONNECT_TIMEOUT_MS = 300;
/** Failures of one target within this time are about the same crash. */
const RESULT_TTL_MS = 1_000;

/** Tells the crash of a target from the loss of a connection to it. */
export class CrashCheck {
  readonly #timer: TimerService;
  readonly #results = new Map<string, Promise<boolean>>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Whether nothing answers any more where the target was. */
  isDown(target: RegisteredTarget): Promise<boolean> {
    const { incarnation } = target;
    const known = this.#results.get(incarnation);
    if (known) return known;
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
