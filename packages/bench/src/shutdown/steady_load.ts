import { Caller, type CallResult, type Fleet } from "../harness/index.ts";
import { Balancer } from "./balancer.ts";

const STREAM_EVERY_MS = 120;
const BOOKING_EVERY_MS = 60;
/** Long enough that each stream outlives the grace of a shutdown. */
const STREAM_TOKENS = 600;

/** What a load asks for. */
export interface LoadNames {
  readonly team: string;
  readonly model: string;
  readonly serviceRoute: string;
}

/** The names of Barandas's example objects. */
export const BARANDAS_NAMES: LoadNames = {
  team: "rosario-hogares",
  model: "survey-writer",
  serviceRoute: "install-booking",
};

/** One request of the load and what its caller saw. */
export interface LoadResult {
  readonly kind: "stream" | "booking";
  /** Chat of a stream, key of a booking. */
  readonly name: string;
  readonly result: CallResult;
}

/** Loads of this process so far; keeps the names of their requests apart. */
let loadCount = 0;

/** Long streams and bookings at a steady rate, through a balancer. */
export class SteadyLoad {
  readonly #caller = new Caller();
  readonly #balancer: Balancer;
  readonly #names: LoadNames;
  readonly #timers: NodeJS.Timeout[];
  readonly #running: Promise<LoadResult>[] = [];
  readonly #prefix = `load${loadCount++}`;
  #count = 0;

  constructor(fleet: Fleet, names: LoadNames) {
    this.#balancer = new Balancer(fleet);
    this.#names = names;
    this.#timers = [
      setInterval(() => this.#running.push(this.#stream()), STREAM_EVERY_MS),
      setInterval(() => this.#running.push(this.#book()), BOOKING_EVERY_MS),
    ];
  }

  /** Sends nothing more and gives all results once the last has ended. */
  async finish(): Promise<LoadResult[]> {
    this.stop();
    const results = await Promise.all(this.#running);
    await this.#caller.close();
    return results;
  }

  /** Sends nothing more, as in the clean-up of a test that failed. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#balancer.close();
  }

  async #stream(): Promise<LoadResult> {
    const { team, model } = this.#names;
    const name = `${this.#prefix}-chat-${this.#count++}`;
    const result = await this.#caller.chat(this.#balancer.nextUrl(), {
      team,
      chat: name,
      model,
      messages: [{ role: "user", content: `inventory of ${name}` }],
      maxTokens: STREAM_TOKENS,
      isStream: true,
    });
    return { kind: "stream", name, result };
  }

  async #book(): Promise<LoadResult> {
    const { team, serviceRoute } = this.#names;
    const name = `${this.#prefix}-booking-${this.#count++}`;
    const result = await this.#caller.service(this.#balancer.nextUrl(), {
      team,
      route: serviceRoute,
      path: "/book",
      body: name,
      idempotencyKey: name,
    });
    return { kind: "booking", name, result };
  }
}

/** The requests whose caller did not get a whole answer of its own. */
export function findIncomplete(results: readonly LoadResult[]): string[] {
  return results.filter(({ result }) => !result.isOwnAndWhole)
    .map(({ name, result }) =>
      `${name}: ${result.status} ${result.outcome} ${result.text.slice(-200)}`
    );
}
