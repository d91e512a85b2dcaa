import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import {
  type ClientLimits,
  pickService,
  returnAfterMs,
  type RouteTable,
  type TimerService,
} from "@coltsfootford/core";
import { ResultAsync } from "neverthrow";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { ForwardingBlackboard } from "./forwarding_blackboard.ts";
import { ClientAnswer } from "./client_answer.ts";
import type { Forwarder } from "./forwarder.ts";
import type { AcceptedRequest } from "./forwarding_types.ts";
import { headerBytes } from "./http_headers.ts";
import { type BodyFault, readWholeBody } from "./read_whole_body.ts";
import type { RequestCodec, RequestMetadata } from "./request_codec.ts";
import { digestRequest } from "./request_digest.ts";
import { isTakenWhileEnding } from "./shutdown.ts";

/** Header bytes that the parser takes; the configured limit is below. */
const PARSER_MAX_HEADER_BYTES = 128 * 1024;
/** How often the server looks for clients that are too slow. */
const SLOW_CLIENT_CHECK_MS = 500;
/** Time for a client's body where no configuration is known yet. */
const DEFAULT_BODY_TIMEOUT_MS = 5_000;
/** Idle time kept beyond the limit, which clients may use up to. */
const IDLE_MARGIN_MS = 1_000;
/** Time left assumed for clients that don't tell theirs. */
const DEFAULT_CLIENT_TIMEOUT_MS = 3_000;

/** What the server needs of the daemon. */
export interface ForwardingServerParts {
  readonly blackboard: ForwardingBlackboard;
  readonly codec: RequestCodec;
  readonly forwarder: Forwarder;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly random: () => number;
}

/** Takes requests from clients, checks them and has them forwarded. */
export class ForwardingServer {
  readonly server: Server;
  readonly #parts: ForwardingServerParts;
  #stoppingSinceMs: number | undefined;

  constructor(parts: ForwardingServerParts) {
    this.#parts = parts;
    this.server = createServer({
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CLIENT_CHECK_MS,
      noDelay: true,
      keepAlive: true,
    });
    this.server.on("request", (incoming, outgoing) => {
      this.#onRequest(incoming, outgoing);
    });
    this.server.on("clientError", (error, socket) => {
      this.#onClientError(error, socket);
    });
    parts.blackboard.lifecycle.subscribe((phase) => {
      if (phase === "draining") this.#stoppingSinceMs = parts.timer.nowMs();
    });
    parts.blackboard.routes.subscribe((routes) => {
      if (routes) this.#applyLimits(routes.config.limits);
    });
  }

  #applyLimits(limits: ClientLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { blackboard: blackboard, codec, timer, metrics } = this.#parts;
    const receivedAtMs = timer.nowMs();
    metrics.count("requests_received_total");
    const answer = new ClientAnswer(outgoing, incoming.method ?? "");
    const facts = codec.decodeRequest(incoming.rawHeaders);
    if (facts.isErr()) {
      return this.#refuse(answer, undefined, 400, facts.error.message);
    }
    const routes = blackboard.routes.read();
    if (!routes || blackboard.targets.read() === undefined) {
      return this.#refuseForNow(answer, facts.value, "no configuration yet");
    }
    this.#admit(incoming, answer, facts.value, routes, receivedAtMs);
  }

  #admit(
    incoming: IncomingMessage,
    answer: ClientAnswer,
    facts: RequestMetadata,
    routes: RouteTable,
    receivedAtMs: number,
  ): void {
    const { limits, version } = routes.config;
    const path = incoming.url ?? "/";
    if (headerBytes(incoming.rawHeaders) > limits.maxHeaderBytes) {
      return this.#refuse(answer, facts, 431, "headers too large", version);
    }
    const host = hostName(incoming.headers.host);
    const route = routes.findRoute(host, path.split("?", 1)[0]!);
    if (!route) return this.#refuse(answer, facts, 404, "no route", version);
    const team = routes.findTeam(route, facts.teamKey);
    if (team.kind === "unknown-key") {
      return this.#refuse(answer, facts, 401, "unknown key", version);
    }
    const service = pickService(route, facts.requestId);
    if (service === undefined) {
      return this.#refuseForNow(answer, facts, "route without a service");
    }
    const longestMs = Math.min(
      facts.clientTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
      route.timeoutMs,
    );
    if (!this.#canFinish(longestMs)) {
      return this.#refuseForNow(answer, facts, "daemon is ending");
    }
    const body = readWholeBody(incoming, {
      maxBytes: limits.maxBodyBytes,
      timeoutMs: longestMs,
      timer: this.#parts.timer,
    });
    void new ResultAsync(body).match(
      (bytes) =>
        this.#forward({
          facts,
          method: incoming.method ?? "",
          path,
          body: bytes,
          route,
          service,
          engine: routes.findService(service)?.engine,
          team: team.kind === "team" ? team.team : undefined,
          configVersion: version,
          receivedAtMs,
          answer,
        }),
      (fault) => this.#refuseBody(answer, facts, fault, version),
    );
  }

  #forward(accepted: AcceptedRequest): void {
    const quarantine = this.#parts.blackboard.quarantine.read();
    if (quarantine.size > 0 && quarantine.has(digestRequest(accepted))) {
      const { answer, facts, configVersion } = accepted;
      const reason = "requests like this one have crashed their targets";
      return this.#refuse(answer, facts, 503, reason, configVersion);
    }
    this.#parts.forwarder.forward(accepted);
  }

  #canFinish(longestMs: number): boolean {
    if (this.#stoppingSinceMs === undefined) return true;
    const { timer, blackboard: blackboard } = this.#parts;
    const { shutdownLimitMs } = blackboard.limits.read();
    const sinceMs = timer.nowMs() - this.#stoppingSinceMs;
    return isTakenWhileEnding(sinceMs, longestMs, shutdownLimitMs);
  }

  #refuseBody(
    answer: ClientAnswer,
    facts: RequestMetadata,
    fault: BodyFault,
    version: number,
  ): void {
    if (fault === "client-gone") return;
    const status = fault === "too-large" ? 413 : 408;
    this.#refuse(answer, facts, status, `body ${fault}`, version, [
      "Connection",
      "close",
    ]);
  }

  #refuseForNow(
    answer: ClientAnswer,
    facts: RequestMetadata,
    reason: string,
  ): void {
    const leftMs = facts.clientTimeoutMs ?? DEFAULT_CLIENT_TIMEOUT_MS;
    const afterMs = returnAfterMs(leftMs, this.#parts.random());
    const headers = this.#parts.codec.encodeReturnTime(afterMs);
    this.#refuse(answer, facts, 503, reason, undefined, headers);
  }

  #refuse(
    answer: ClientAnswer,
    facts: RequestMetadata | undefined,
    status: number,
    reason: string,
    configVersion?: number,
    headers: readonly string[] = [],
  ): void {
    this.#parts.metrics.count(`requests_refused_${status}_total`);
    this.#parts.log.event("forwardingRefused", {
      request: facts?.requestId,
      status,
      reason,
      configVersion,
    });
    answer.refuse(status, reason, headers);
  }

  #onClientError(error: Error, socket: Duplex): void {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown";
    this.#parts.metrics.count("client_errors_total");
    this.#parts.log.event("forwardingClientError", { code });
    if (!socket.writable || code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    socket.end(`HTTP/1.1 ${statusOf(code)}\r\nConnection: close\r\n\r\n`);
  }
}

function statusOf(code: string): string {
  if (code === "HPE_HEADER_OVERFLOW") {
    return "431 Request Header Fields Too Large";
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") return "408 Request Timeout";
  return "400 Bad Request";
}

/** The host without a port, in lower case. */
function hostName(header: string | undefined): string {
  return (header ?? "").replace(/:\d*$/, "").toLowerCase();
}
