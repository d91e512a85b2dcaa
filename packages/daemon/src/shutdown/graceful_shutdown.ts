import type { TimerService } from "@coltsfootford/core";
import type { FieldWriter, LifecyclePhase } from "../blackboard/index.ts";
import type { RunningRequests } from "../entry/index.ts";
import type { Logger } from "../log/index.ts";
import type { ConnectionDrain } from "./connection_drain.ts";

const CHECK_MS = 50;

/** A part of the daemon that gives something back before the end. */
export interface HandOverStep {
  /** Names the step in the log, in kebab case. */
  readonly name: string;
  run(): Promise<void>;
}

/** What a `GracefulShutdown` is built from. */
export interface GracefulShutdownParts {
  readonly lifecycle: FieldWriter<LifecyclePhase>;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly running: RunningRequests;
  readonly drain: ConnectionDrain;
  /** Time that the balancer has to notice that this daemon is not ready. */
  readonly readinessGraceMs: number;
  /** Time for everything until the last request. */
  readonly limitMs: number;
  /** Run one after another once no request is running. */
  readonly handOverSteps: readonly HandOverStep[];
}

/**
 * Takes a daemon out of service: unready first, so that the balancer and the
 * other daemons turn away; then no new connections; then the end of what runs;
 * last the hand-over of what this daemon holds for others.
 */
export class GracefulShutdown {
  readonly #parts: GracefulShutdownParts;
  #limitAtMs = Number.POSITIVE_INFINITY;

  constructor(parts: GracefulShutdownParts) {
    this.#parts = parts;
  }

  /** Resolves with the number of requests that had to be cut. */
  async run(): Promise<number> {
    const { timer, logger, lifecycle, running, drain } = this.#parts;
    this.#limitAtMs = timer.nowMs() + this.#parts.limitMs;
    lifecycle.write("draining");
    drain.startClosing();
    logger.event("daemonStopping", { running: running.count });
    await this.#wait(this.#parts.readinessGraceMs);
    drain.stopAccepting();
    await this.#waitForQuiet();
    const cutRequests = this.reportCut();
    for (const step of this.#parts.handOverSteps) await this.#handOver(step);
    drain.closeAll();
    return cutRequests;
  }

  /** Logs the requests that an end at this moment cuts, and counts them. */
  reportCut(): number {
    const cut = this.#parts.running.list();
    if (cut.length > 0) this.#parts.logger.event("requestsCut", { cut });
    return cut.length;
  }

  /** Waits until no request runs and no client may still send one. */
  async #waitForQuiet(): Promise<void> {
    const { running, drain, timer } = this.#parts;
    while (running.count > 0 || drain.openCount > 0) {
      if (timer.nowMs() >= this.#limitAtMs) return;
      drain.closeIdle();
      await this.#wait(CHECK_MS);
    }
  }

  async #handOver(step: HandOverStep): Promise<void> {
    try {
      await step.run();
    } catch (cause) {
      const message = `${step.name}: ${String(cause)}`;
      this.#parts.logger.event("handOverFailed", { message });
    }
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.timer.after(durationMs, resolve);
    });
  }
}
