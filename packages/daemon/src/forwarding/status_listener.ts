import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { TimerService } from "@coltsfootford/core";
import type { JSONRPCServer } from "json-rpc-2.0";
import { type ByteHoldings, PieceBuffer } from "../buffering/index.ts";
import type { Controller } from "../controllers/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { type ForwardingBlackboard, isReady } from "./forwarding_blackboard.ts";
import { PEER_RPC_PATH } from "./knowledge/index.ts";
import { readRequestBody } from "./read_request_body.ts";

/** Dependencies of the status listener. */
export interface StatusListenerDependencies {
  readonly blackboard: ForwardingBlackboard;
  readonly metrics: Metrics;
  readonly controllers: readonly Controller[];
  readonly rpc: JSONRPCServer;
  readonly holdings: ByteHoldings;
  readonly timer: TimerService;
  readonly log: Logger;
  /** The path of the load balancer's readiness probes. */
  readonly readinessPath: string;
}

type Handler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => void | Promise<void>;

/** Largest call of another daemon. */
const MAX_RPC_BYTES = 4 * 1024 * 1024;
/** Longest time in which a call arrives. */
const RPC_BODY_TIMEOUT_MS = 5_000;

const JSON_TYPE = "application/json";
const TEXT_TYPE = "text/plain; charset=utf-8";

/**
 * Serves readiness, metrics, a state dump, and RPC calls of other daemons. It
 * uses the HTTP server of Node.js alone: the classes of the fetch API that a web
 * framework needs would take a tenth of a daemon's startup time.
 */
export function createStatusListener(
  dependencies: StatusListenerDependencies,
): RequestListener {
  const { blackboard, metrics, log, readinessPath } = dependencies;
  const handlers = new Map<string, Handler>([
    [`GET ${readinessPath}`, (_, outgoing) => {
      const ready = isReady(blackboard);
      sendJson(outgoing, { ready }, ready ? 200 : 503);
    }],
    ["GET /metrics", (_, outgoing) => {
      send(outgoing, 200, TEXT_TYPE, metrics.renderText());
    }],
    ["GET /dump", (_, outgoing) => sendJson(outgoing, dump(dependencies))],
    [
      `POST ${PEER_RPC_PATH}`,
      (incoming, outgoing) => answerCall(dependencies, incoming, outgoing),
    ],
  ]);
  return (incoming, outgoing) => {
    const [path] = (incoming.url ?? "").split("?");
    const handler = handlers.get(`${incoming.method} ${path}`);
    if (!handler) return send(outgoing, 404, TEXT_TYPE, "404 Not Found");
    Promise.resolve(handler(incoming, outgoing)).catch((cause: Error) => {
      log.event("internalFault", { error: `${path}: ${cause.message}` });
      outgoing.destroy();
    });
  };
}

/** Answers an RPC call, or rejects one that is too large or too slow. */
async function answerCall(
  { holdings, rpc, timer }: StatusListenerDependencies,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const buffer = new PieceBuffer(holdings.open("request", undefined));
  const body = await readRequestBody(incoming, buffer, {
    maxBytes: MAX_RPC_BYTES,
    timeoutMs: RPC_BODY_TIMEOUT_MS,
    timer,
  });
  if (body.isErr()) {
    outgoing.setHeader("connection", "close");
    const status = body.error === "too-large" ? 413 : 503;
    return send(outgoing, status, TEXT_TYPE, `call ${body.error}`);
  }
  const { pieces } = body.value;
  const call = (pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces))
    .toString();
  body.value.release();
  const response = await rpc.receiveJSON(call);
  if (response) return sendJson(outgoing, response);
  outgoing.writeHead(204).end();
}

function dump(
  { blackboard, metrics, controllers }: StatusListenerDependencies,
) {
  return {
    lifecycle: blackboard.lifecycle.read(),
    configVersion: blackboard.routes.read()?.config.version ?? null,
    targets: blackboard.targets.read() ?? null,
    peers: blackboard.peers.read(),
    storeContact: blackboard.storeContact.read(),
    controllers: Object.fromEntries(
      controllers.map((controller) => [
        controller.name,
        controller.dumpState(),
      ]),
    ),
    metrics: metrics.dump(),
  };
}

function sendJson(outgoing: ServerResponse, body: unknown, status = 200): void {
  send(outgoing, status, JSON_TYPE, JSON.stringify(body));
}

function send(
  outgoing: ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  outgoing.writeHead(status, {
    "content-type": contentType,
    "content-length": Buffer.byteLength(text),
  });
  outgoing.end(text);
}
