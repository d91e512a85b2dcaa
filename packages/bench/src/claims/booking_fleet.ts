import { randomUUID } from "node:crypto";
import { request } from "undici";
import {
  Caller,
  type CallResult,
  Fleet,
  SMALL_PLAN,
  waitUntil,
} from "../harness/index.ts";

const SERVICES = ["desk-1", "desk-2"] as const;

/** A small fleet before booking services, with callers and the truth. */
export class BookingFleet {
  readonly fleet: Fleet;
  readonly #caller = new Caller();

  private constructor(fleet: Fleet) {
    this.fleet = fleet;
  }

  static async start(): Promise<BookingFleet> {
    return new BookingFleet(await Fleet.start(SMALL_PLAN));
  }

  async stop(): Promise<void> {
    await this.#caller.close();
    await this.fleet.stop();
  }

  /** Sends a booking through a daemon. */
  book(vm: string, key: string, body = "{}"): Promise<CallResult> {
    return this.#caller.service(this.fleet.daemon(vm).url, {
      team: "lots",
      route: "bids",
      path: "/confirm",
      body,
      idempotencyKey: key,
    });
  }

  /** Changes the faults of every booking service. */
  async setServiceFaults(faults: object): Promise<void> {
    for (const vm of SERVICES) await this.fleet.targets.setFaults(vm, faults);
  }

  async setPlatformFaults(faults: object): Promise<void> {
    await this.fleet.platform.setFaults("platform", faults);
  }

  /** How often the services ran the call with this key. */
  async countRuns(key: string): Promise<number> {
    const runs = await this.fleet.targets.read("runs");
    return runs.filter((run) => run.idempotencyKey === key).length;
  }

  /** Waits until a service is running the call with this key. */
  async waitUntilRunning(key: string): Promise<void> {
    await waitUntil(
      `a run of ${key}`,
      async () => await this.countRuns(key) > 0,
    );
  }

  /** The revision of the platform, read beside its slow port. */
  async readRevision(): Promise<number> {
    const { platform } = await this.fleet.platform.read("standIns");
    return Number(platform?.["revision"] ?? 0);
  }

  /** Sends a booking and waits until its claim's write has taken effect. */
  async bookUntilClaimed(
    vm: string,
    key: string,
    deadlineMs?: number,
  ): Promise<{ readonly answer: Promise<BookingAnswer> }> {
    const before = await this.readRevision();
    const answer = this.#send(vm, key, deadlineMs);
    await waitUntil(
      "the write of a claim",
      async () => await this.readRevision() > before,
    );
    return { answer };
  }

  async #send(
    vm: string,
    key: string,
    deadlineMs: number | undefined,
  ): Promise<BookingAnswer> {
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

/** How a booking was answered; status 0 where the connection was lost. */
export interface BookingAnswer {
  readonly status: number;
  readonly outcome: string;
}

/** An idempotency key without a date. */
export function createKey(): string {
  return `booking-${randomUUID()}`;
}
