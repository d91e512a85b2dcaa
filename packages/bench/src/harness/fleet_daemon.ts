import { fileURLToPath } from "node:url";
import { request } from "undici";
import type { DaemonPlan } from "./fleet_plan.ts";
import { ManagedProcess } from "./managed_process.ts";
import type { SettingsFiles } from "./settings_files.ts";
import { waitUntil } from "./wait_until.ts";

const DAEMON_SCRIPT = fileURLToPath(
  new URL("../../../daemon/dist/main.js", import.meta.url),
);
const STATUS_OK = 200;

/** The ports that a daemon has opened. */
interface DaemonPorts {
  readonly callers: number;
  readonly admin: number;
  /** Absent if the daemon has no peer port. */
  readonly peers?: number;
}

/** A daemon process of a fleet. */
export class FleetDaemon {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly process: ManagedProcess;
  readonly #ports: DaemonPorts;

  private constructor(
    plan: DaemonPlan,
    process: ManagedProcess,
    ports: DaemonPorts,
  ) {
    this.vm = plan.vm;
    this.availabilityZone = plan.availabilityZone;
    this.process = process;
    this.#ports = ports;
  }

  /** Starts a daemon and waits until its ports are open. */
  static async start(
    plan: DaemonPlan,
    settings: unknown,
    files: SettingsFiles,
  ): Promise<FleetDaemon> {
    const path = files.write(plan.vm, settings);
    const process = ManagedProcess.start(plan.vm, DAEMON_SCRIPT, [
      "--settings",
      path,
    ]);
    const line = await process.waitForLine(
      "readiness",
      (candidate) => candidate["eventName"] === "daemonReady",
    );
    return new FleetDaemon(plan, process, line["ports"] as DaemonPorts);
  }

  /** URL to which clients send requests. */
  get url(): string {
    return `http://127.0.0.1:${this.#ports.callers}`;
  }

  get adminUrl(): string {
    return `http://127.0.0.1:${this.#ports.admin}`;
  }

  get clientPort(): number {
    return this.#ports.callers;
  }

  get peerPort(): number {
    return this.#ports.peers ?? 0;
  }

  /** Waits until the daemon reports that it is ready for clients. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(`readiness of ${this.vm}`, async () => {
      const response = await request(`${this.adminUrl}/healthz`);
      await response.body.dump();
      return response.statusCode === STATUS_OK;
    });
  }

  /** The daemon's dump of its state. */
  async dump(): Promise<Record<string, unknown>> {
    const response = await request(`${this.adminUrl}/dump`);
    return await response.body.json() as Record<string, unknown>;
  }
}
