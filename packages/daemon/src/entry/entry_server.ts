import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { TimerService } from "@coltsfootford/core";
import { err, type Result } from "neverthrow";
import type {
  Blackboard,
  CancelSubscription,
  ConfigView,
} from "../blackboard/index.ts";
import { abortResponse } from "../connections/index.ts";
import { type ByteHoldings, headCostBytes } from "../buffering/index.ts";
import { chatHandler } from "./chat_handler.ts";
import { RequestDispatcher } from "./dispatcher.ts";
import type { DispatcherDependencies } from "./dispatcher.ts";
import { TeamDirectory } from "./identify_team.ts";
import { RunningRequests } from "./running_requests.ts";
import { RequestMemory } from "./request_memory.ts";
import {
  createRequestError,
  renderErrorBody,
  type RequestError,
} from "./request_error.ts";
import { serviceHandler } from "./service_handler.ts";

const INCARNATION_BYTES = 6;
const MS_PER_S = 1_000;
const CHAT_PATH = "/v1/chat/completions";
const SERVICE_PREFIX = "/services/";

/** The services and controllers that the entry server uses. */
export interface EntryDependencies extends DispatcherDependencies {
  readonly holdings: ByteHoldings;
}

/** The services that the request handlers use. */
export interface EntryServices extends EntryDependencies {
  readonly dispatcher: RequestDispatcher;
  readonly running: RunningRequests;
  readonly nextRequestId: () => string;
  readonly config: () => ConfigView;
  readonly teams: () => TeamDirectory;
}

type RequestHandler = typeof chatHandler;

/** Handles client requests. It reads `config`, `targets` and `lifecycle`. */
export class EntryServer {
  readonly #services: EntryServices;
  readonly #cancelSubscription: CancelSubscription;
  readonly #blackboard: Blackboard;

  constructor(vm: string, dependencies: EntryDependencies) {
    const { blackboard } = dependencies;
    this.#blackboard = blackboard;
    let teams = new TeamDirectory(blackboard.config.read().objects);
    this.#cancelSubscription = blackboard.config.subscribe((config) => {
      teams = new TeamDirectory(config.objects);
    });
    this.#services = {
      ...dependencies,
      dispatcher: new RequestDispatcher(dependencies),
      running: new RunningRequests(),
      nextRequestId: createRequestIdGenerator(vm),
      config: () => blackboard.config.read(),
      teams: () => teams,
    };
  }

  get running(): RunningRequests {
    return this.#services.running;
  }

  close(): void {
    this.#cancelSubscription();
  }

  /** Handles one request until its response has ended. */
  async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { metrics, timer, logger } = this.#services;
    const startedAtMs = timer.nowMs();
    metrics.count("requests_total");
    const markEnded = this.#services.running.begin(incoming.url ?? "");
    try {
      const result = await this.#route(incoming, outgoing);
      if (result.isOk()) {
        metrics.count("requests_completed_total");
        metrics.recordMs("request_ms", timer.nowMs() - startedAtMs);
        return;
      }
      const { code, outcome } = result.error;
      metrics.count(`requests_${outcome.replace("-", "_")}_total`);
      logger.event("requestFailed", { code, outcome, url: incoming.url });
      writeErrorResponse(outgoing, result.error, timer);
    } catch (cause) {
      logger.event("internalFault", { message: String(cause) });
      const message = "the daemon failed; the outcome of the request is open";
      writeErrorResponse(
        outgoing,
        createRequestError(500, "internal_fault", message, {
          outcome: "unknown",
        }),
        timer,
      );
    } finally {
      markEnded();
    }
  }

  #route(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<Result<void, RequestError>> {
    const path = incoming.url ?? "/";
    if (this.#blackboard.config.read().revision === 0) {
      return createRejection(
        503,
        "no_configuration",
        "no configuration is in force yet",
      );
    }
    const handler = this.#findHandler(path);
    if (handler) return this.#runHandler(handler, incoming, outgoing);
    const message = `path ${path} is not served; use ${CHAT_PATH} or ` +
      `${SERVICE_PREFIX}ROUTE`;
    return createRejection(404, "unknown_path", message);
  }

  #findHandler(path: string): RequestHandler | undefined {
    if (path === CHAT_PATH) return chatHandler;
    return path.startsWith(SERVICE_PREFIX) ? serviceHandler : undefined;
  }

  async #runHandler(
    handler: RequestHandler,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<Result<void, RequestError>> {
    const services = this.#services;
    const memory = new RequestMemory(
      services.holdings,
      services.nextRequestId(),
    );
    memory.body.held.charge(headCostBytes(incoming.rawHeaders));
    try {
      return await handler(services, incoming, outgoing, memory);
    } finally {
      memory.release();
    }
  }
}

/** Writes an error response, or cuts a response that was partly sent. */
export function writeErrorResponse(
  outgoing: ServerResponse,
  error: RequestError,
  timer: TimerService,
): void {
  if (outgoing.destroyed) return;
  const body = renderErrorBody(error);
  if (outgoing.headersSent) {
    // Without the end marker, no client treats the response as complete.
    outgoing.write(`data: ${body}\n\n`, () => abortResponse(outgoing, timer));
    return;
  }
  outgoing.setHeader("content-type", "application/json");
  outgoing.setHeader("x-coltsfoot-outcome", error.outcome);
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.ceil(error.retryAfterMs / MS_PER_S);
    outgoing.setHeader("retry-after", String(seconds));
  }
  if (error.closesConnection) outgoing.setHeader("connection", "close");
  outgoing.writeHead(error.status);
  outgoing.end(body);
}

function createRejection(
  status: number,
  code: string,
  message: string,
): Promise<Result<void, RequestError>> {
  return Promise.resolve(err(createRequestError(status, code, message)));
}

/** Creates request ids that no other incarnation of a daemon generates. */
function createRequestIdGenerator(vm: string): () => string {
  const incarnation = randomBytes(INCARNATION_BYTES).toString("base64url");
  let count = 0;
  return () => `${vm}.${incarnation}.${(count++).toString(36)}`;
}
