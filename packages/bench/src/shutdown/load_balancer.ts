import { request } from "undici";
import type { Fleet, FleetDaemon } from "../harness/index.ts";

const HEALTH_CHECK_INTERVAL_MS = 50;
const STATUS_OK = 200;

/**
 * Selects daemons round-robin, like the platform's load balancer: only those
 * that were ready at their last health check.
 */
export class LoadBalancer {
  readonly #fleet: Fleet;
  readonly #timer: NodeJS.Timeout;
  #readyDaemons: FleetDaemon[] = [];
  #nextIndex = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#readyDaemons = [...fleet.daemons];
    this.#timer = setInterval(
      () => void this.#checkHealth(),
      HEALTH_CHECK_INTERVAL_MS,
    );
  }

  /** URL of the daemon for the next request. */
  nextUrl(): string {
    const daemon =
      this.#readyDaemons[this.#nextIndex++ % this.#readyDaemons.length];
    if (!daemon) throw new Error("no daemon is ready");
    return daemon.url;
  }

  /** Stops the health checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  async #checkHealth(): Promise<void> {
    const { daemons } = this.#fleet;
    const readiness = await Promise.all(daemons.map(isReady));
    this.#readyDaemons = daemons.filter((_, index) => readiness[index]);
  }
}

async function isReady(daemon: FleetDaemon): Promise<boolean> {
  try {
    const response = await request(`${daemon.adminUrl}/healthz`);
    await response.body.dump();
    return response.statusCode === STATUS_OK;
  } catch {
    return false;
  }
}
