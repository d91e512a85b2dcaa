import { SharedTruth } from "../truth/index.ts";
import { Target } from "../target/index.ts";
import { Batch } from "./batch.ts";
import { CacheEventLog } from "./cache_events.ts";
import { ChatHandler } from "./chat_handler.ts";
import { type EngineFaults, engineFaultsSchema } from "./engine_faults.ts";
import {
  type EngineOptions,
  engineOptionsSchema,
  type EngineSettings,
} from "./engine_options.ts";
import { addKvRoutes } from "./kv_routes.ts";
import { addOrderRoute } from "./order_route.ts";
import { OrderLog } from "./orders.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Stand-in of a model engine with an OpenAI-compatible chat API. */
export class ModelEngine extends Target<EngineFaults> {
  readonly #batch: Batch;
  readonly #cache: PrefixCache;
  readonly #cacheEvents: CacheEventLog;
  readonly #orders: OrderLog;
  readonly #models: Set<string>;

  private constructor(options: EngineOptions, truth: SharedTruth) {
    super(options, engineFaultsSchema, options.faults, truth);
    this.#models = new Set(options.models);
    this.#cacheEvents = new CacheEventLog({
      delayMs: options.cacheEventDelayMs,
      lossRatio: options.cacheEventLossRatio,
      seed: options.seed,
    });
    this.#cache = new PrefixCache(
      options.cacheTokens,
      (kind, prefix) => this.#cacheEvents.add(kind, prefix),
    );
    this.#orders = new OrderLog(options.checksFences);
    this.#batch = new Batch(options, () => this.#recordLoad());
    this.#addRoutes(options);
  }

  /** Starts an engine; it records its admissions and runs in `truth`. */
  static async start(
    settings: EngineSettings,
    truth: SharedTruth = new SharedTruth(),
  ): Promise<ModelEngine> {
    const options = engineOptionsSchema.parse(settings);
    const engine = new ModelEngine(options, truth);
    await engine.listen();
    return engine;
  }

  override describeTruth(): Record<string, unknown> {
    return {
      kind: "engine",
      ...super.describeTruth(),
      runningRequests: this.#batch.runningRequests,
      waitingRequests: this.#batch.waitingRequests,
      cachedTokens: this.#cache.usedTokens,
      models: [...this.#models],
      ordersExecuted: this.#orders.executed,
      ordersRefused: this.#orders.rejected,
    };
  }

  override async reset(): Promise<void> {
    this.#orders.reset();
    await super.reset();
  }

  protected override abortRuns(): void {
    this.#batch.crash();
    this.#cache.clear();
  }

  #addRoutes(options: EngineOptions): void {
    const chatHandler = new ChatHandler({
      options,
      truth: this.truth,
      batch: this.#batch,
      cache: this.#cache,
      models: this.#models,
      faults: () => this.currentFaults,
      consumeResponseFaults: () => this.consumeResponseFaults(),
      crash: () => this.crash(),
      crashOnPoison: (body, requestId) => this.crashOnPoison(body, requestId),
    });
    this.app.post("/v1/chat/completions", (c) => chatHandler.handleChat(c));
    this.app.post("/v1/cancel", (c) => chatHandler.handleCancel(c));
    this.app.get("/cache_events", (c) => {
      const afterSeq = Number(c.req.query("after") ?? 0);
      return c.json(this.#cacheEvents.read(afterSeq));
    });
    addKvRoutes(this.app, this.#cache);
    addOrderRoute(this.app, this.#orders, this.#models, options.orderMs);
  }

  #recordLoad(): void {
    this.recordLoad({
      running_requests: this.#batch.runningRequests,
      waiting_requests: this.#batch.waitingRequests,
      running_tokens: this.#batch.runningTokens,
    });
  }
}

/** Starts a model engine. */
export function startModelEngine(
  settings: EngineSettings,
  truth?: SharedTruth,
): Promise<ModelEngine> {
  return ModelEngine.start(settings, truth);
}
