import type { TimerService } from "@coltsfootford/core";
import type { FieldWriter, LifecyclePhase } from "../blackboard/index.ts";
import type { ClientConnections } from "../connections/index.ts";
import type { RunningRequests } from "../entry/index.ts";
import type { Logger } from "../log/index.ts";

const POLL_INTERVAL_MS = 50;

/** A step that releases resources which the daemon holds for others. */
export interface HandOverStep {
  /** The name of the step in the log, in kebab case. */
  readonly name: string;
  run(): Promise<void>;
}

export interface GracefulShutdownDependencies {
  readonly lifecycle: FieldWriter<LifecyclePhase>;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly running: RunningRequests;
  readonly connections: ClientConnections;
  /** Time for the load balancer to notice that this daemon is not ready. */
  readonly readinessGraceMs: number;
  /** Time from the start of the shutdown until requests in flight are cut. */
  readonly timeoutMs: number;
  /** Executed one after another once no request is in flight. */
  readonly handOverSteps: readonly HandOverStep[];
}

/**
 * Takes a daemon out of service. It first reports not ready, so that the load
 * balancer and the other daemons stop using it. Then it stops accepting
 * connections, waits for the requests in flight, and finally executes the
 * hand-over steps.
 */
export class GracefulShutdown {
  readonly #dependencies: GracefulShutdownDependencies;
  #deadlineAtMs = Number.POSITIVE_INFINITY;

  constructor(dependencies: GracefulShutdownDependencies) {
    this.#dependencies = dependencies;
  }

  /** Resolves with the number of requests that were cut. */
  async run(): Promise<number> {
    const { timer, logger, lifecycle, running, connections } =
      this.#dependencies;
    this.#deadlineAtMs = timer.nowMs() + this.#dependencies.timeoutMs;
    lifecycle.write("draining");
    connections.startClosing();
    logger.event("daemonStopping", { running: running.count });
    await this.#wait(this.#dependencies.readinessGraceMs);
    connections.stopAccepting();
    await this.#waitUntilIdle();
    const cutRequests = this.logCutRequests();
    for (const step of this.#dependencies.handOverSteps) {
      await this.#handOver(step);
    }
    await connections.closeAll();
    return cutRequests;
  }

  /** Logs and counts the requests that are cut if the process exits now. */
  logCutRequests(): number {
    const cut = this.#dependencies.running.list();
    if (cut.length > 0) this.#dependencies.logger.event("requestsCut", { cut });
    return cut.length;
  }

  /** Waits until no request or connection is left, or the timeout passes. */
  async #waitUntilIdle(): Promise<void> {
    const { running, connections, timer } = this.#dependencies;
    while (running.count > 0 || connections.openCount > 0) {
      if (timer.nowMs() >= this.#deadlineAtMs) return;
      connections.closeIdle();
      await this.#wait(POLL_INTERVAL_MS);
    }
  }

  async #handOver(step: HandOverStep): Promise<void> {
    try {
      await step.run();
    } catch (cause) {
      const message = `${step.name}: ${String(cause)}`;
      this.#dependencies.logger.event("handOverFailed", { message });
    }
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#dependencies.timer.after(durationMs, resolve);
    });
  }
}
