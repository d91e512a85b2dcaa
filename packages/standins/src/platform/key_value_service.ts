import { setTimeout as sleep } from "node:timers/promises";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import type { z } from "zod";
import {
  HttpListener,
  type JsonBody,
  type NodeEnv,
  parseJsonText,
} from "../http/index.ts";
import { StandIn } from "../stand_in.ts";
import { CallCounts, type CallKind } from "./call_counts.ts";
import { Gateway } from "./gateway.ts";
import { GatewayError } from "./gateway_error.ts";
import { KeyValueStore, type StoreSnapshot } from "./key_value_store.ts";
import * as messages from "./messages.ts";
import {
  platformActionSchema,
  platformChangeSchema,
  type PlatformFaults,
  platformFaultsSchema,
  type PlatformOptions,
  platformOptionsSchema,
  type PlatformSettings,
} from "./platform_options.ts";
import {
  executeRange,
  type GatewayObject,
  isWriteTransaction,
} from "./transactions.ts";
import { Watchers } from "./watchers.ts";

/** The route of one call: its path, schema, kind and implementation. */
interface CallRoute<T> {
  readonly path: string;
  readonly schema: z.ZodType<T>;
  readonly kind: (request: T) => CallKind;
  readonly execute: (request: T) => GatewayObject;
}

/** Stand-in of the key-value service: a subset of the etcd v3 JSON gateway. */
export class KeyValueService extends StandIn {
  override readonly name: string;
  readonly #options: PlatformOptions;
  readonly #store = new KeyValueStore((events) =>
    this.#watchers.deliver(events)
  );
  readonly #watchers = new Watchers(this.#store);
  readonly #gateway: Gateway;
  readonly #calls = new CallCounts();
  #faults: PlatformFaults;
  #snapshot: StoreSnapshot | undefined;
  #lostResponses = 0;
  #listener: HttpListener | undefined;

  private constructor(options: PlatformOptions) {
    super();
    this.name = options.name;
    this.#options = options;
    this.#faults = options.faults;
    this.#gateway = new Gateway(this.#store, options.maxValueBytes);
  }

  /** Starts a key-value service with an empty store. */
  static async start(settings: PlatformSettings): Promise<KeyValueService> {
    const options = platformOptionsSchema.parse(settings);
    const service = new KeyValueService(options);
    service.#listener = await HttpListener.start({
      app: service.#createApp(),
      host: options.host,
      port: options.port,
    });
    await service.applyFaults({});
    return service;
  }

  override get port(): number {
    return this.#listener?.port ?? 0;
  }

  override async applyFaults(change: unknown): Promise<void> {
    const parsed = platformChangeSchema.parse(change);
    const { saveSnapshot, restoreSnapshot, compactRevision, ...faults } =
      parsed;
    this.#faults = platformFaultsSchema.parse({ ...this.#faults, ...faults });
    this.#watchers.isStalled = this.#faults.stallWatches;
    if (this.#faults.down) await this.#listener?.close();
    else await this.#listener?.open();
    this.#applyActions(platformActionSchema.parse({
      saveSnapshot,
      restoreSnapshot,
      compactRevision,
    }));
  }

  override describeTruth(): Record<string, unknown> {
    return {
      kind: "platform",
      revision: this.#store.revision,
      calls: this.#calls.describe(),
      openWatches: this.#watchers.count,
      lostAnswers: this.#lostResponses,
      faults: this.#faults,
    };
  }

  override async reset(): Promise<void> {
    this.#faults = platformFaultsSchema.parse({});
    this.#calls.reset();
    this.#lostResponses = 0;
    await this.applyFaults({});
  }

  override async close(): Promise<void> {
    this.#gateway.close();
    await this.#listener?.close();
  }

  #applyActions(action: z.infer<typeof platformActionSchema>): void {
    if (action.saveSnapshot) this.#snapshot = this.#store.save();
    if (action.restoreSnapshot && this.#snapshot) {
      this.#store.restore(this.#snapshot);
      this.#listener?.destroyConnections();
    }
    if (action.compactRevision !== null) {
      this.#store.compact(action.compactRevision);
    }
  }

  #createApp(): Hono<NodeEnv> {
    const app = new Hono<NodeEnv>();
    this.#addKeyCalls(app);
    this.#addLeaseCalls(app);
    app.post("/v3/watch", (context) => this.#watch(context));
    return app;
  }

  #addKeyCalls(app: Hono<NodeEnv>): void {
    this.#add(app, {
      path: "/v3/kv/range",
      schema: messages.rangeSchema,
      kind: () => "read",
      execute: (request) => executeRange(this.#store, request),
    });
    this.#add(app, {
      path: "/v3/kv/put",
      schema: messages.putSchema,
      kind: () => "write",
      execute: (request) => this.#gateway.put(request),
    });
    this.#add(app, {
      path: "/v3/kv/deleterange",
      schema: messages.deleteRangeSchema,
      kind: () => "write",
      execute: (request) => this.#gateway.deleteRange(request),
    });
    this.#add(app, {
      path: "/v3/kv/txn",
      schema: messages.transactionSchema,
      kind: (request) => isWriteTransaction(request) ? "write" : "read",
      execute: (request) => this.#gateway.transact(request),
    });
  }

  #addLeaseCalls(app: Hono<NodeEnv>): void {
    this.#add(app, {
      path: "/v3/lease/grant",
      schema: messages.leaseGrantSchema,
      kind: () => "lease",
      execute: (request) => this.#gateway.grantLease(request.TTL, request.ID),
    });
    this.#addLeaseCall(app, "revoke", (id) => this.#gateway.revokeLease(id));
    this.#addLeaseCall(
      app,
      "timetolive",
      (id) => this.#gateway.describeLease(id),
    );
    this.#addLeaseCall(
      app,
      "keepalive",
      (id) => this.#gateway.keepLeaseAlive(id),
    );
  }

  /** Adds a lease call at both paths that the gateway has for it. */
  #addLeaseCall(
    app: Hono<NodeEnv>,
    name: string,
    execute: (id: string) => GatewayObject,
  ): void {
    for (const path of [`/v3/lease/${name}`, `/v3/kv/lease/${name}`]) {
      this.#add(app, {
        path,
        schema: messages.leaseIdSchema,
        kind: () => "lease",
        execute: (request) => execute(request.ID),
      });
    }
  }

  #add<T>(app: Hono<NodeEnv>, route: CallRoute<T>): void {
    app.post(route.path, async (context) => {
      const body = parseBody(await context.req.text(), route.schema);
      try {
        if (body.ok) return await this.#handleCall(context, route, body.value);
        throw new GatewayError("invalid-argument", body.message);
      } catch (error) {
        if (error instanceof GatewayError) return error.toResponse();
        throw error;
      }
    });
  }

  async #handleCall<T>(
    context: Context<NodeEnv>,
    route: CallRoute<T>,
    request: T,
  ): Promise<Response> {
    const kind = route.kind(request);
    if (kind === "write" && this.#consumeDroppedWrite()) {
      return destroyConnection(context);
    }
    if (this.#faults.hang) return await waitForClose(context);
    this.#checkRate(kind);
    const response = route.execute(request);
    const isLost = kind === "write" && this.#consumeLostResponse(request);
    if (this.#faults.slowMs > 0) await sleep(this.#faults.slowMs);
    return isLost ? destroyConnection(context) : Response.json(response);
  }

  #checkRate(kind: CallKind): void {
    const countInSecond = this.#calls.count(kind);
    const { enforcesRates, maxWritesPerSecond, maxReadsPerSecond } =
      this.#options;
    const maxPerSecond = kind === "write"
      ? maxWritesPerSecond
      : maxReadsPerSecond;
    if (!enforcesRates || countInSecond <= maxPerSecond) return;
    throw new GatewayError(
      "resource-exhausted",
      "etcdserver: too many requests",
    );
  }

  #consumeDroppedWrite(): boolean {
    const { dropWrites } = this.#faults;
    if (dropWrites === 0) return false;
    this.#faults = { ...this.#faults, dropWrites: dropWrites - 1 };
    return true;
  }

  #consumeLostResponse(request: unknown): boolean {
    const { loseWriteAnswers, loseKeyPrefix } = this.#faults;
    if (loseWriteAnswers === 0) return false;
    if (!messages.writesKeyUnder(request, loseKeyPrefix)) return false;
    this.#faults = { ...this.#faults, loseWriteAnswers: loseWriteAnswers - 1 };
    this.#lostResponses += 1;
    return true;
  }

  async #watch(context: Context<NodeEnv>): Promise<Response> {
    const body = parseBody(await context.req.text(), messages.watchSchema);
    if (!body.ok) {
      return new GatewayError("invalid-argument", body.message).toResponse();
    }
    if (this.#faults.hang) return await waitForClose(context);
    this.#calls.count("watch");
    this.#watchers.open(body.value.create_request, context.env.outgoing);
    return RESPONSE_ALREADY_SENT;
  }
}

/** Starts the platform's key-value service. */
export function startKeyValueService(
  settings: PlatformSettings = {},
): Promise<KeyValueService> {
  return KeyValueService.start(settings);
}

function parseBody<T>(text: string, schema: z.ZodType<T>): JsonBody<T> {
  return parseJsonText(text, schema, messages.toSnakeCaseFields);
}

function destroyConnection(context: Context<NodeEnv>): Response {
  context.env.outgoing.destroy();
  return RESPONSE_ALREADY_SENT;
}

/** Leaves a call without a response until its client disconnects. */
async function waitForClose(context: Context<NodeEnv>): Promise<Response> {
  const { outgoing } = context.env;
  await new Promise<void>((resolve) => outgoing.on("close", () => resolve()));
  return RESPONSE_ALREADY_SENT;
}
