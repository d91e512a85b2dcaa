import { setTimeout as sleep } from "node:timers/promises";
import { type Context, Hono } from "hono";
import { z } from "zod";
import { HttpListener, type NodeEnv } from "../http/index.ts";
import { StandIn } from "../stand_in.ts";
import { monotonicMs } from "../truth/index.ts";

const MS_PER_SECOND = 1000;

/** The faults of the weight store, all off by default. */
export const weightStoreFaultsSchema = z.strictObject({
  /** Refuses connections. */
  down: z.boolean().default(false),
  /** Delay of every response. */
  slowMs: z.number().nonnegative().default(0),
});

/** The settings of the weight store. */
export const weightStoreOptionsSchema = z.strictObject({
  name: z.string().min(1).default("weight-store"),
  host: z.string().default("127.0.0.1"),
  port: z.int().min(0).max(65_535).default(0),
  /** Refill rate of the token bucket. */
  fetchesPerSecond: z.number().positive().default(1),
  /** Capacity of the token bucket. */
  burstFetches: z.int().positive().default(2),
  /** Size of the response body, which represents the weights. */
  weightBytes: z.int().positive().default(4096),
});

export type WeightStoreOptions = z.infer<typeof weightStoreOptionsSchema>;
export type WeightStoreSettings = z.input<typeof weightStoreOptionsSchema>;

/** The options of a store whose settings are all left at their defaults. */
export const DEFAULT_WEIGHT_STORE_OPTIONS: WeightStoreOptions =
  weightStoreOptionsSchema.parse({});

/** Stand-in of a store of model weights, rate-limited by a token bucket. */
export class WeightStore extends StandIn {
  override readonly name: string;
  readonly #options: WeightStoreOptions;
  readonly #app = new Hono<NodeEnv>();
  #faults = weightStoreFaultsSchema.parse({});
  #fetches: Record<string, number> = {};
  #rejections = 0;
  #availableFetches: number;
  #refilledAtMs = monotonicMs();
  #listener: HttpListener | undefined;

  private constructor(options: WeightStoreOptions) {
    super();
    this.name = options.name;
    this.#options = options;
    this.#availableFetches = options.burstFetches;
    this.#app.get(
      "/v1/weights/:model/:version",
      (context) => this.#handleFetch(context),
    );
  }

  /** Starts a weight store with a full token bucket. */
  static async start(settings: WeightStoreSettings): Promise<WeightStore> {
    const options = weightStoreOptionsSchema.parse(settings);
    const store = new WeightStore(options);
    const { host, port } = options;
    store.#listener = await HttpListener.start({ app: store.#app, host, port });
    return store;
  }

  override get port(): number {
    return this.#listener?.port ?? 0;
  }

  override async applyFaults(change: unknown): Promise<void> {
    this.#faults = weightStoreFaultsSchema.parse({
      ...this.#faults,
      ...(change as Record<string, unknown>),
    });
    if (this.#faults.down) await this.#listener?.close();
    else await this.#listener?.open();
  }

  override describeTruth(): Record<string, unknown> {
    return {
      kind: "weight-store",
      fetches: this.#fetches,
      refusals: this.#rejections,
      faults: this.#faults,
    };
  }

  override async reset(): Promise<void> {
    this.#fetches = {};
    this.#rejections = 0;
    this.#faults = weightStoreFaultsSchema.parse({});
    await this.applyFaults({});
  }

  override async close(): Promise<void> {
    await this.#listener?.close();
  }

  async #handleFetch(context: Context<NodeEnv>): Promise<Response> {
    if (!this.#consumeFetch()) {
      this.#rejections += 1;
      const retryAfterSeconds = Math.ceil(1 / this.#options.fetchesPerSecond);
      return context.json({ error: "too many fetches" }, 429, {
        "retry-after": String(retryAfterSeconds),
      });
    }
    const { model, version } = context.req.param() as Record<string, string>;
    const name = `${model}/${version}`;
    this.#fetches[name] = (this.#fetches[name] ?? 0) + 1;
    if (this.#faults.slowMs > 0) await sleep(this.#faults.slowMs);
    return context.body("w".repeat(this.#options.weightBytes));
  }

  #consumeFetch(): boolean {
    const nowMs = monotonicMs();
    const elapsedSeconds = (nowMs - this.#refilledAtMs) / MS_PER_SECOND;
    this.#refilledAtMs = nowMs;
    this.#availableFetches = Math.min(
      this.#options.burstFetches,
      this.#availableFetches + elapsedSeconds * this.#options.fetchesPerSecond,
    );
    if (this.#availableFetches < 1) return false;
    this.#availableFetches -= 1;
    return true;
  }
}

/** Starts a weight store. */
export function startWeightStore(
  settings: WeightStoreSettings = {},
): Promise<WeightStore> {
  return WeightStore.start(settings);
}
