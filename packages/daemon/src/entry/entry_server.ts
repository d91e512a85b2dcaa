import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { err, type Result } from "neverthrow";
import type {
  Blackboard,
  CancelSubscription,
  ConfigView,
} from "../blackboard/index.ts";
import { chatHandler } from "./chat_handler.ts";
import { RequestDispatcher } from "./dispatcher.ts";
import type { DispatcherParts } from "./dispatcher.ts";
import { TeamDirectory } from "./identify_team.ts";
import { RunningRequests } from "./running_requests.ts";
import { createRefusal, type Refusal, renderRefusal } from "./refusal.ts";
import { serviceHandler } from "./service_handler.ts";

const INCARNATION_BYTES = 6;
const MS_PER_S = 1_000;
const CHAT_PATH = "/v1/chat/completions";
const SERVICE_PREFIX = "/services/";

/** What every handler of callers' requests may use. */
export interface EntryServices extends DispatcherParts {
  readonly dispatcher: RequestDispatcher;
  readonly running: RunningRequests;
  readonly nextRequestId: () => string;
  readonly config: () => ConfigView;
  readonly teams: () => TeamDirectory;
}

/** Serves callers. It reads `config`, `targets` and `lifecycle`. */
export class EntryServer {
  readonly #services: EntryServices;
  readonly #cancelSubscription: CancelSubscription;
  readonly #blackboard: Blackboard;

  constructor(vm: string, parts: DispatcherParts) {
    const { blackboard } = parts;
    this.#blackboard = blackboard;
    let teams = new TeamDirectory(blackboard.config.read().objects);
    this.#cancelSubscription = blackboard.config.subscribe((config) => {
      teams = new TeamDirectory(config.objects);
    });
    this.#services = {
      ...parts,
      dispatcher: new RequestDispatcher(parts),
      running: new RunningRequests(),
      nextRequestId: createRequestIds(vm),
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

  /** Handles one request from its head to the end of its answer. */
  async handle(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { metrics, timer, logger } = this.#services;
    const startedMs = timer.nowMs();
    metrics.count("requests_total");
    const done = this.#services.running.begin(incoming.url ?? "");
    try {
      const result = await this.#route(incoming, outgoing);
      if (result.isOk()) {
        metrics.count("requests_completed_total");
        metrics.recordMs("request_ms", timer.nowMs() - startedMs);
        return;
      }
      const { code, outcome } = result.error;
      metrics.count(`requests_${outcome.replace("-", "_")}_total`);
      logger.event("requestFailed", { code, outcome, url: incoming.url });
      writeRefusal(outgoing, result.error);
    } catch (cause) {
      logger.event("internalFault", { message: String(cause) });
      const message = "the daemon failed; the outcome of the request is open";
      writeRefusal(
        outgoing,
        createRefusal(500, "internal_fault", message, { outcome: "unknown" }),
      );
    } finally {
      done();
    }
  }

  #route(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<Result<void, Refusal>> {
    const path = incoming.url ?? "/";
    if (this.#blackboard.config.read().revision === 0) {
      return refuse(
        503,
        "no_configuration",
        "no configuration is in force yet",
      );
    }
    if (path === CHAT_PATH) {
      return chatHandler(this.#services, incoming, outgoing);
    }
    if (path.startsWith(SERVICE_PREFIX)) {
      return serviceHandler(this.#services, incoming, outgoing);
    }
    const message = `path ${path} is not served; use ${CHAT_PATH} or ` +
      `${SERVICE_PREFIX}ROUTE`;
    return refuse(404, "unknown_path", message);
  }
}

/** Writes a refusal, or cuts the answer where a part of it was sent. */
export function writeRefusal(outgoing: ServerResponse, refusal: Refusal): void {
  if (outgoing.destroyed) return;
  const body = renderRefusal(refusal);
  if (outgoing.headersSent) {
    // The connection ends without the end marker, so no client can take the
    // answer for a whole one.
    outgoing.write(`data: ${body}\n\n`, () => outgoing.destroy());
    return;
  }
  outgoing.setHeader("content-type", "application/json");
  outgoing.setHeader("x-coltsfoot-outcome", refusal.outcome);
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_S);
    outgoing.setHeader("retry-after", String(seconds));
  }
  outgoing.writeHead(refusal.status);
  outgoing.end(body);
}

function refuse(
  status: number,
  code: string,
  message: string,
): Promise<Result<void, Refusal>> {
  return Promise.resolve(err(createRefusal(status, code, message)));
}

/** Request ids that no other run of a daemon can give. */
function createRequestIds(vm: string): () => string {
  const incarnation = randomBytes(INCARNATION_BYTES).toString("base64url");
  let count = 0;
  return () => `${vm}.${incarnation}.${(count++).toString(36)}`;
}
