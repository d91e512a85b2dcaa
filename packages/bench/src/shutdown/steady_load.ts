import { type CallResult, type Fleet, FleetClient } from "../harness/index.ts";
import { LoadBalancer } from "./load_balancer.ts";

const STREAM_INTERVAL_MS = 120;
const BOOKING_INTERVAL_MS = 60;
/** Enough tokens for each stream to outlast the grace period of a shutdown. */
const STREAM_TOKENS = 600;

/** Names of the configuration objects that a load uses. */
export interface LoadNames {
  readonly team: string;
  readonly model: string;
  readonly serviceRoute: string;
}

/** Names of the objects in the Barandas example. */
export const BARANDAS_NAMES: LoadNames = {
  team: "rosario-hogares",
  model: "survey-writer",
  serviceRoute: "install-booking",
};

/** One request of the load and the result that its client observed. */
export interface LoadResult {
  readonly kind: "stream" | "booking";
  /** Chat name of a stream, idempotency key of a booking. */
  readonly name: string;
  readonly result: CallResult;
}

/** Number of loads in this process so far; makes request names unique. */
let loadCount = 0;

/** Sends long streams and bookings at a steady rate through a load balancer. */
export class SteadyLoad {
  readonly #client = new FleetClient();
  readonly #balancer: LoadBalancer;
  readonly #names: LoadNames;
  readonly #timers: NodeJS.Timeout[];
  readonly #inFlight: Promise<LoadResult>[] = [];
  readonly #prefix = `load${loadCount++}`;
  #requestCount = 0;

  constructor(fleet: Fleet, names: LoadNames) {
    this.#balancer = new LoadBalancer(fleet);
    this.#names = names;
    this.#timers = [
      setInterval(
        () => this.#inFlight.push(this.#sendStream()),
        STREAM_INTERVAL_MS,
      ),
      setInterval(
        () => this.#inFlight.push(this.#sendBooking()),
        BOOKING_INTERVAL_MS,
      ),
    ];
  }

  /** Stops sending, waits for requests in flight and returns all results. */
  async finish(): Promise<LoadResult[]> {
    this.stop();
    const results = await Promise.all(this.#inFlight);
    await this.#client.close();
    return results;
  }

  /** Stops sending without waiting, as in the cleanup of a failed test. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#balancer.close();
  }

  async #sendStream(): Promise<LoadResult> {
    const { team, model } = this.#names;
    const name = `${this.#prefix}-chat-${this.#requestCount++}`;
    const result = await this.#client.chat(this.#balancer.nextUrl(), {
      team,
      chat: name,
      model,
      messages: [{ role: "user", content: `inventory of ${name}` }],
      maxTokens: STREAM_TOKENS,
      isStream: true,
    });
    return { kind: "stream", name, result };
  }

  async #sendBooking(): Promise<LoadResult> {
    const { team, serviceRoute } = this.#names;
    const name = `${this.#prefix}-booking-${this.#requestCount++}`;
    const result = await this.#client.service(this.#balancer.nextUrl(), {
      team,
      route: serviceRoute,
      path: "/book",
      body: name,
      idempotencyKey: name,
    });
    return { kind: "booking", name, result };
  }
}

/** Describes the requests whose client got no complete response of its own. */
export function findIncomplete(results: readonly LoadResult[]): string[] {
  return results.filter(({ result }) => !result.isOwnAndComplete)
    .map(({ name, result }) =>
      `${name}: ${result.status} ${result.outcome} ${result.text.slice(-200)}`
    );
}
