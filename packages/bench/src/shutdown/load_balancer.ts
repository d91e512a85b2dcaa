import { request } from "undici";
import type { Fleet, FleetDaemon } from "../harness/index.ts";

const CHECK_MS = 50;
const STATUS_OK = 200;

/**
 * Picks daemons in turn as the platform's balancer does: only those whose
 * health check said ready when it was asked last.
 */
export class Balancer {
  readonly #fleet: Fleet;
  readonly #timer: NodeJS.Timeout;
  #ready: FleetDaemon[] = [];
  #turn = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#ready = [...fleet.daemons];
    this.#timer = setInterval(() => void this.#check(), CHECK_MS);
  }

  /** Where the next request goes. */
  nextUrl(): string {
    const daemon = this.#ready[this.#turn++ % this.#ready.length];
    if (!daemon) throw new Error("no daemon is ready");
    return daemon.url;
  }

  /** Ends the health checks. */
  close(): void {
    clearInterval(this.#timer);
  }

  async #check(): Promise<void> {
    const { daemons } = this.#fleet;
    const checks = await Promise.all(daemons.map(isReady));
    this.#ready = daemons.filter((_, index) => checks[index]);
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
