import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  type ClientLimits,
  findQuarantinedParts,
  isAcceptedWhileDraining,
  jitteredRetryAfterMs,
  pickService,
  type RouteTable,
  type TimerService,
} from "@coltsfootford/core";
import { ResultAsync } from "neverthrow";
import {
  type ByteHoldings,
  headCostBytes,
  PieceBuffer,
} from "../buffering/index.ts";
import {
  releaseHead,
  serveInOrder,
  setMaxHeadBytes,
} from "../connections/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { ForwardingBlackboard } from "./forwarding_blackboard.ts";
import { ClientResponse } from "./client_response.ts";
import type { Forwarder } from "./forwarder.ts";
import type { AcceptedRequest } from "./forwarding_types.ts";
import { headerBytes } from "./http_headers.ts";
import { PendingResponses } from "./pending_responses.ts";
import { type BodyReadError, readRequestBody } from "./read_request_body.ts";
import type { RequestCodec, RequestMetadata } from "./request_codec.ts";
import { digestRequest } from "./request_digest.ts";

/** Limit on header bytes where no configuration is known yet. */
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
/** Longest request line that a server should accept (RFC 9112, section 3). */
const MAX_REQUEST_LINE_BYTES = 8_000;
/** Memory of a decoded part of a prompt: an object, its id and its places. */
const PROMPT_PART_COST_BYTES = 128;
/** How often the server checks for clients that are too slow. */
const SLOW_CLIENT_CHECK_MS = 500;
/** Time for a client's body where no configuration is known yet. */
const DEFAULT_BODY_TIMEOUT_MS = 5_000;
/**
 * Added to the idle limit, since a client may still reuse its connection
 * shortly before the limit.
 */
const IDLE_MARGIN_MS = 1_000;
/** Assumed remaining time of clients that send no timeout. */
const DEFAULT_CLIENT_TIMEOUT_MS = 3_000;

/** The quarantine of a prompt part ends after ten minutes, or by an operator. */
const PART_RETRY_AFTER_MS = 600_000;

/** Ends a connection on which the rest of a body may still arrive. */
const CLOSE = ["Connection", "close"];

/** Dependencies of the client-facing server. */
export interface ForwardingServerDependencies {
  readonly blackboard: ForwardingBlackboard;
  readonly codec: RequestCodec;
  readonly forwarder: Forwarder;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly holdings: ByteHoldings;
  readonly random: () => number;
}

/** Accepts requests from clients, validates and forwards them. */
export class ForwardingServer {
  readonly server: Server;
  readonly #dependencies: ForwardingServerDependencies;
  readonly #pending = new PendingResponses();
  #drainingSinceMs: number | undefined;

  constructor(dependencies: ForwardingServerDependencies) {
    this.#dependencies = dependencies;
    this.server = createServer({
      maxHeaderSize: DEFAULT_MAX_HEADER_BYTES + MAX_REQUEST_LINE_BYTES,
      connectionsCheckingInterval: SLOW_CLIENT_CHECK_MS,
      noDelay: true,
      keepAlive: true,
    });
    const onRequest = serveInOrder((incoming, outgoing) =>
      this.#onRequest(incoming, outgoing)
    );
    this.server.on("request", onRequest);
    dependencies.blackboard.lifecycle.subscribe((phase) => {
      if (phase === "draining") {
        this.#drainingSinceMs = dependencies.timer.nowMs();
      }
    });
    dependencies.blackboard.routes.subscribe((routes) => {
      if (routes) this.#applyLimits(routes.config.limits);
    });
  }

  #applyLimits(limits: ClientLimits): void {
    setMaxHeadBytes(
      this.server,
      limits.maxHeaderBytes + MAX_REQUEST_LINE_BYTES,
    );
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { blackboard, codec, timer, metrics, holdings } = this.#dependencies;
    const receivedAtMs = timer.nowMs();
    metrics.count("requests_received_total");
    const metadata = codec.decodeRequest(incoming.rawHeaders);
    const requestId = metadata.isOk() ? metadata.value.requestId : undefined;
    const held = holdings.open("response", requestId);
    const method = incoming.method ?? "";
    const response = new ClientResponse(outgoing, method, timer, held);
    this.#pending.track(incoming, outgoing, response);
    if (metadata.isErr()) {
      return this.#reject(
        response,
        undefined,
        400,
        metadata.error.message,
      );
    }
    const routes = blackboard.routes.read();
    if (!routes || blackboard.targets.read() === undefined) {
      return this.#rejectTemporarily(
        response,
        metadata.value,
        "no configuration yet",
      );
    }
    this.#admit(incoming, response, metadata.value, routes, receivedAtMs);
  }

  #admit(
    incoming: IncomingMessage,
    response: ClientResponse,
    metadata: RequestMetadata,
    routes: RouteTable,
    receivedAtMs: number,
  ): void {
    const { limits, version } = routes.config;
    const path = incoming.url ?? "/";
    if (headerBytes(incoming.rawHeaders) > limits.maxHeaderBytes) {
      return this.#reject(
        response,
        metadata,
        431,
        "headers too large",
        version,
      );
    }
    const host = hostName(incoming.headers.host);
    const route = routes.findRoute(host, path.split("?", 1)[0]!);
    if (!route) {
      return this.#reject(response, metadata, 404, "no route", version);
    }
    const team = routes.findTeam(route, metadata.teamKey);
    if (team.kind === "unknown-key") {
      return this.#reject(
        response,
        metadata,
        401,
        "unknown key",
        version,
      );
    }
    const service = pickService(route, metadata.requestId);
    if (service === undefined) {
      return this.#rejectTemporarily(
        response,
        metadata,
        "route without a service",
      );
    }
    const maxDurationMs = Math.min(
      metadata.clientTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
      route.timeoutMs,
    );
    if (!this.#canComplete(maxDurationMs)) {
      return this.#rejectTemporarily(
        response,
        metadata,
        "daemon is ending",
      );
    }
    const { timer, holdings } = this.#dependencies;
    const held = holdings.open("request", metadata.requestId);
    held.charge(headCostBytes(incoming.rawHeaders));
    const body = readRequestBody(incoming, new PieceBuffer(held), {
      maxBytes: limits.maxBodyBytes,
      timeoutMs: maxDurationMs,
      timer,
    });
    // The framing of the body has been read by now.
    releaseHead(incoming);
    void new ResultAsync(body).match(
      (body) =>
        this.#forward({
          metadata,
          method: incoming.method ?? "",
          path,
          body,
          route,
          service,
          engine: routes.findService(service)?.engine,
          team: team.kind === "team" ? team.team : undefined,
          configVersion: version,
          receivedAtMs,
          response,
        }),
      (error) => this.#rejectBody(response, metadata, error, version),
    );
  }

  #forward(accepted: AcceptedRequest): void {
    const { parts: promptParts } = accepted.metadata.prompt;
    accepted.body.held.charge(promptParts.length * PROMPT_PART_COST_BYTES);
    const quarantine = this.#dependencies.blackboard.quarantine.read();
    if (quarantine.size > 0 && quarantine.has(digestRequest(accepted))) {
      const { response, metadata, configVersion } = accepted;
      accepted.body.release();
      const reason = "requests like this one have crashed their targets";
      return this.#reject(response, metadata, 503, reason, configVersion);
    }
    const parts = findQuarantinedParts(
      accepted.metadata.prompt,
      this.#dependencies.blackboard.quarantinedParts.read(),
    );
    if (parts !== undefined) {
      const { response, metadata, configVersion } = accepted;
      accepted.body.release();
      const reason = `prompt parts ${parts.join(",")} have crashed targets`;
      const headers = this.#dependencies.codec.encodeRetryAfter(
        PART_RETRY_AFTER_MS,
      );
      return this.#reject(
        response,
        metadata,
        503,
        reason,
        configVersion,
        headers,
      );
    }
    this.#dependencies.forwarder.forward(accepted);
  }

  #canComplete(maxDurationMs: number): boolean {
    if (this.#drainingSinceMs === undefined) return true;
    const { timer, blackboard } = this.#dependencies;
    const { shutdownLimitMs } = blackboard.limits.read();
    const drainingMs = timer.nowMs() - this.#drainingSinceMs;
    return isAcceptedWhileDraining(drainingMs, maxDurationMs, shutdownLimitMs);
  }

  #rejectBody(
    response: ClientResponse,
    metadata: RequestMetadata,
    error: BodyReadError,
    configVersion: number,
  ): void {
    if (error === "client-gone") return;
    if (error === "evicted") {
      const reason = "too many bytes of request bodies";
      return this.#rejectTemporarily(response, metadata, reason, CLOSE);
    }
    const status = error === "too-large" ? 413 : 408;
    this.#reject(
      response,
      metadata,
      status,
      `body ${error}`,
      configVersion,
      CLOSE,
    );
  }

  #rejectTemporarily(
    response: ClientResponse,
    metadata: RequestMetadata,
    reason: string,
    moreHeaders: readonly string[] = [],
  ): void {
    const leftMs = metadata.clientTimeoutMs ?? DEFAULT_CLIENT_TIMEOUT_MS;
    const afterMs = jitteredRetryAfterMs(leftMs, this.#dependencies.random());
    const headers = [
      ...this.#dependencies.codec.encodeRetryAfter(afterMs),
      ...moreHeaders,
    ];
    this.#reject(response, metadata, 503, reason, undefined, headers);
  }

  #reject(
    response: ClientResponse,
    metadata: RequestMetadata | undefined,
    status: number,
    reason: string,
    configVersion?: number,
    headers: readonly string[] = [],
  ): void {
    this.#dependencies.metrics.count(`requests_refused_${status}_total`);
    this.#dependencies.log.event("forwardingRefused", {
      request: metadata?.requestId,
      status,
      reason,
      configVersion,
    });
    response.reject(status, reason, headers);
  }

  /** Called before a connection is ended for a late or malformed request. */
  onRejected(
    { code = "unknown" }: NodeJS.ErrnoException,
    socket: Socket,
  ): void {
    this.#pending.flush(socket);
    this.#dependencies.metrics.count("client_errors_total");
    this.#dependencies.log.event("forwardingClientError", { code });
  }
}

/** The value of a Host header without the port, in lower case. */
function hostName(header: string | undefined): string {
  return (header ?? "").replace(/:\d*$/, "").toLowerCase();
}
