import { randomUUID } from "node:crypto";
import { request } from "undici";
import {
  type CallResult,
  Fleet,
  FleetClient,
  SMALL_PLAN,
  waitUntil,
} from "../harness/index.ts";

const SERVICES = ["desk-1", "desk-2"] as const;

/** A small fleet with booking services, a client and the stand-ins' records. */
export class BookingFleet {
  readonly fleet: Fleet;
  readonly #client = new FleetClient();

  private constructor(fleet: Fleet) {
    this.fleet = fleet;
  }

  static async start(): Promise<BookingFleet> {
    return new BookingFleet(await Fleet.start(SMALL_PLAN));
  }

  async stop(): Promise<void> {
    await this.#client.close();
    await this.fleet.stop();
  }

  /** Sends a booking through the daemon on `vm`. */
  book(vm: string, key: string, body = "{}"): Promise<CallResult> {
    return this.#client.service(this.fleet.daemon(vm).url, {
      team: "lots",
      route: "bids",
      path: "/confirm",
      body,
      idempotencyKey: key,
    });
  }

  /** Sets the faults of every booking service. */
  async setServiceFaults(faults: object): Promise<void> {
    for (const vm of SERVICES) await this.fleet.targets.setFaults(vm, faults);
  }

  async setPlatformFaults(faults: object): Promise<void> {
    await this.fleet.platform.setFaults("platform", faults);
  }

  /** How often the services executed the call with this key. */
  async countExecutions(key: string): Promise<number> {
    const runs = await this.fleet.targets.read("runs");
    return runs.filter((run) => run.idempotencyKey === key).length;
  }

  /** Waits until a service executes the call with this key. */
  async waitUntilExecuting(key: string): Promise<void> {
    await waitUntil(
      `an execution of ${key}`,
      async () => await this.countExecutions(key) > 0,
    );
  }

  /** The platform's revision, read through a port without injected delay. */
  async readRevision(): Promise<number> {
    const { platform } = await this.fleet.platform.read("standIns");
    return Number(platform?.["revision"] ?? 0);
  }

  /** Sends a booking and waits until the write of its claim is committed. */
  async bookUntilClaimed(
    vm: string,
    key: string,
    deadlineMs?: number,
  ): Promise<{ readonly response: Promise<BookingResponse> }> {
    const before = await this.readRevision();
    const response = this.#send(vm, key, deadlineMs);
    await waitUntil(
      "the write of a claim",
      async () => await this.readRevision() > before,
    );
    return { response };
  }

  async #send(
    vm: string,
    key: string,
    deadlineMs: number | undefined,
  ): Promise<BookingResponse> {
    const deadline = deadlineMs === undefined
      ? {}
      : { "x-coltsfoot-deadline-ms": String(deadlineMs) };
    try {
      const response = await request(
        `${this.fleet.daemon(vm).url}/services/bids/confirm`,
        {
          method: "POST",
          headers: {
            "x-coltsfoot-team": "lots",
            "idempotency-key": key,
            ...deadline,
          },
          body: "{}",
        },
      );
      await response.body.dump();
      const outcome = String(response.headers["x-coltsfoot-outcome"]);
      return { status: response.statusCode, outcome };
    } catch {
      return { status: 0, outcome: "" };
    }
  }
}

/** Status and outcome of a booking; status 0 if the connection was lost. */
export interface BookingResponse {
  readonly status: number;
  readonly outcome: string;
}

/** Creates an idempotency key that carries no date. */
export function createKey(): string {
  return `booking-${randomUUID()}`;
}
