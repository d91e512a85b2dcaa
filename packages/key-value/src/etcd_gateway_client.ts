import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher, request as sendRequest } from "undici";
import type { z } from "zod";
import type {
  CancelTimer,
  StoreRevision,
  TimerService,
} from "@coltsfootford/core";
import {
  emptyResponseSchema,
  encodeSelection,
  encodeTxn,
  keepAliveResponseSchema,
  leaseResponseSchema,
  rangeResponseSchema,
  txnResponseSchema,
  watchResponseSchema,
} from "./etcd_codec.ts";
import {
  KeyValueClient,
  type KeyValueResult,
  type RandomSource,
} from "./key_value_client.ts";
import {
  createKeyValueError,
  isCertainlyNotApplied,
  type KeyValueError,
} from "./key_value_error.ts";
import type {
  KeySelection,
  Lease,
  RangeResponse,
  TxnRequest,
  TxnResponse,
} from "./key_value_types.ts";
import { readLines } from "./read_lines.ts";
import { classifyTransportError } from "./transport_error.ts";
import type { WatchSink } from "./watch_loop.ts";

/** Default timeout of a call, including the connect. */
const DEFAULT_TIMEOUT_MS = 2_000;
/** Default connect timeout; short because nothing was sent when it expires. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
/** Disables undici's timeouts: an idle watch receives no bytes. */
const NO_TIMEOUT = 0;

/** Settings of an `EtcdGatewayClient`. */
export interface EtcdGatewayOptions {
  /** Base URLs, `http://host:port`, used in order with failover. */
  readonly endpoints: readonly string[];
  readonly timeoutMs?: number;
  readonly connectTimeoutMs?: number;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

interface Call<Schema extends z.ZodType> {
  readonly path: string;
  readonly body: object;
  readonly schema: Schema;
  readonly step: string;
  /** Defaults to the timeout of the client. */
  readonly timeoutMs?: number;
}

/** A client of the JSON gateway of etcd v3 over HTTP/1.1. */
export class EtcdGatewayClient extends KeyValueClient {
  readonly #endpoints: readonly string[];
  readonly #timeoutMs: number;
  readonly #dispatcher: Agent;
  /** Index of the current endpoint; advances when a call or watch fails. */
  #endpointIndex = 0;

  constructor(options: EtcdGatewayOptions) {
    super(options.timer, options.random);
    this.#endpoints = options.endpoints;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#dispatcher = new Agent({
      connect: {
        timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      },
      pipelining: 1,
    });
  }

  override async range(selection: KeySelection): KeyValueResult<RangeResponse> {
    this.calls.reads += 1;
    const begunAt = this.history.latest;
    const result = await this.#call({
      path: "/v3/kv/range",
      body: encodeSelection(selection),
      schema: rangeResponseSchema,
      step: "key-value.range",
    });
    return result.map((page) => ({
      ...page,
      revision: this.#place(page.revision, begunAt),
    }));
  }

  override async readRevision(
    timeoutMs: number,
  ): KeyValueResult<StoreRevision> {
    this.calls.reads += 1;
    const result = await this.#call({
      path: "/v3/kv/range",
      body: { ...encodeSelection({ key: "\0" }), serializable: true },
      schema: rangeResponseSchema,
      step: "key-value.revision",
      timeoutMs,
    });
    return result.map(({ revision }) =>
      this.history.placeStale({ revision, era: undefined })
    );
  }

  override txn(request: TxnRequest): KeyValueResult<TxnResponse> {
    if (isReadOnly(request)) this.calls.reads += 1;
    else this.calls.writes += 1;
    return this.#call({
      path: "/v3/kv/txn",
      body: encodeTxn(request),
      schema: txnResponseSchema,
      step: "key-value.txn",
    });
  }

  override grantLease(ttlMs: number): KeyValueResult<Lease> {
    this.calls.leases += 1;
    return this.#call({
      path: "/v3/lease/grant",
      body: { TTL: String(Math.ceil(ttlMs / 1_000)) },
      schema: leaseResponseSchema,
      step: "key-value.lease-grant",
    });
  }

  override keepLeaseAlive(leaseId: string): KeyValueResult<Lease> {
    this.calls.leases += 1;
    return this.#call({
      path: "/v3/lease/keepalive",
      body: { ID: leaseId },
      schema: keepAliveResponseSchema,
      step: "key-value.lease-keepalive",
    });
  }

  override async revokeLease(leaseId: string): KeyValueResult<void> {
    this.calls.leases += 1;
    const result = await this.#call({
      path: "/v3/lease/revoke",
      body: { ID: leaseId },
      schema: emptyResponseSchema,
      step: "key-value.lease-revoke",
    });
    return result.map(() => undefined);
  }

  override async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  protected override openWatch(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
  ): CancelTimer {
    const abort = new AbortController();
    void this.#runWatch(selection, startRevision, sink, abort.signal);
    return () => abort.abort();
  }

  /** Places a linearizable response; etcd reports no era. */
  #place(revision: number, begunAt: StoreRevision): StoreRevision {
    return this.history.place({ revision, era: undefined }, begunAt);
  }

  /** Retries on the next endpoint only if the call was certainly not sent. */
  async #call<Schema extends z.ZodType>(
    call: Call<Schema>,
  ): KeyValueResult<z.output<Schema>> {
    let lastError: KeyValueError | undefined;
    for (let attempt = 0; attempt < this.#endpoints.length; attempt++) {
      const endpoint = this.#currentEndpoint();
      const result = await this.#callEndpoint(endpoint, call);
      if (result.isOk()) return result;
      lastError = result.error;
      this.#useNextEndpoint();
      if (!isCertainlyNotApplied(lastError)) break;
    }
    return err(lastError ?? this.#createNoEndpointError(call.step));
  }

  async #callEndpoint<Schema extends z.ZodType>(
    endpoint: string,
    call: Call<Schema>,
  ): KeyValueResult<z.output<Schema>> {
    const timeoutMs = call.timeoutMs ?? this.#timeoutMs;
    const abort = new AbortController();
    const cancelTimer = this.timer.after(
      timeoutMs,
      () => abort.abort(new Error(`no response within ${timeoutMs} ms`)),
    );
    try {
      const response = await this.#post(endpoint, call, abort.signal);
      const text = await response.body.text();
      return decodeResponse(response.statusCode, text, endpoint, call);
    } catch (error) {
      const kind = classifyTransportError(error);
      return err(createKeyValueError(kind, call.step, endpoint, error));
    } finally {
      cancelTimer();
    }
  }

  async #runWatch(
    selection: KeySelection,
    startRevision: number,
    sink: WatchSink,
    signal: AbortSignal,
  ): Promise<void> {
    const endpoint = this.#currentEndpoint();
    const begunAt = this.history.latest;
    const body = {
      create_request: {
        ...encodeSelection(selection),
        start_revision: String(startRevision),
      },
    };
    try {
      const response = await this.#post(
        endpoint,
        { path: "/v3/watch", body },
        signal,
      );
      if (response.statusCode !== 200) {
        await response.body.dump();
        this.#useNextEndpoint();
        return sink.onEnd("lost");
      }
      for await (const line of readLines(response.body)) {
        const isOpen = handleWatchResponse(
          line,
          sink,
          (revision) => this.#place(revision, begunAt),
        );
        if (!isOpen) return;
      }
    } catch {
      this.#useNextEndpoint();
    }
    sink.onEnd("lost");
  }

  #post(
    endpoint: string,
    call: { readonly path: string; readonly body: object },
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    return sendRequest(`${endpoint}${call.path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(call.body),
      dispatcher: this.#dispatcher,
      signal,
      headersTimeout: NO_TIMEOUT,
      bodyTimeout: NO_TIMEOUT,
    });
  }

  #currentEndpoint(): string {
    return this.#endpoints[this.#endpointIndex % this.#endpoints.length] ?? "";
  }

  #useNextEndpoint(): void {
    this.#endpointIndex += 1;
  }

  #createNoEndpointError(step: string): KeyValueError {
    return createKeyValueError("unreachable", step, "platform", undefined);
  }
}

function isReadOnly({ success, failure }: TxnRequest): boolean {
  return [...success, ...failure].every(({ kind }) => kind === "range");
}

/**
 * Decodes a response. A status below 500 other than 200 is a rejection. At a
 * status of 500 or above, the service may have applied the call and then failed.
 */
function decodeResponse<Schema extends z.ZodType>(
  statusCode: number,
  text: string,
  endpoint: string,
  call: Call<Schema>,
): Result<z.output<Schema>, KeyValueError> {
  const fail = (kind: KeyValueError["kind"], cause: string) =>
    err(createKeyValueError(kind, call.step, endpoint, cause));
  if (statusCode >= 500) return fail("answer-lost", `HTTP ${statusCode}`);
  if (statusCode !== 200) return fail("rejected", `HTTP ${statusCode} ${text}`);
  const parsed = call.schema.safeParse(parseJson(text));
  if (!parsed.success) return fail("answer-lost", parsed.error.message);
  return ok(parsed.data);
}

/** Handles one response of a watch; returns false if the watch has ended. */
function handleWatchResponse(
  line: string,
  sink: WatchSink,
  place: (revision: number) => StoreRevision,
): boolean {
  const parsed = watchResponseSchema.safeParse(parseJson(line));
  if (!parsed.success) {
    sink.onEnd("lost");
    return false;
  }
  const { header, created, canceled, compact_revision, events } =
    parsed.data.result;
  if (canceled) {
    sink.onEnd(compact_revision > 0 ? "compacted" : "lost");
    return false;
  }
  if (created) sink.onOpen(place(header.revision));
  if (events.length > 0) sink.onEvents(events, place(header.revision));
  return true;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
