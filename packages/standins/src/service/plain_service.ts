import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context } from "hono";
import { type NodeEnv, notRunResponse } from "../http/index.ts";
import { Target } from "../target/index.ts";
import { type Run, SharedTruth } from "../truth/index.ts";
import {
  type ServiceFaults,
  serviceFaultsSchema,
  type ServiceOptions,
  serviceOptionsSchema,
  type ServiceSettings,
} from "./service_options.ts";

/** The response body, by which a client checks that it is for its request. */
export interface ServiceResponse {
  readonly target: string;
  readonly request_id: string;
  readonly idempotency_key: string;
  readonly method: string;
  readonly path: string;
  /** SHA-256 digest of the request body, in hex. */
  readonly body_sha256: string;
  /** Makes the response larger; absent without a setting for it. */
  readonly padding?: string;
}

/** A call, and the faults that apply to it. */
interface ServiceCall {
  readonly context: Context<NodeEnv>;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly body: string;
  readonly faults: ServiceFaults;
}

/** Stand-in of an application; records every run of each call. */
export class PlainService extends Target<ServiceFaults> {
  readonly #options: ServiceOptions;
  readonly #running = new Set<Run>();
  #anonymousRequests = 0;

  private constructor(options: ServiceOptions, truth: SharedTruth) {
    super(options, serviceFaultsSchema, options.faults, truth);
    this.#options = options;
    this.app.all("*", (context) => this.#handleCall(context));
  }

  /** Starts a service; it records its admissions and runs in `truth`. */
  static async start(
    settings: ServiceSettings,
    truth: SharedTruth = new SharedTruth(),
  ): Promise<PlainService> {
    const options = serviceOptionsSchema.parse(settings);
    const service = new PlainService(options, truth);
    await service.listen();
    return service;
  }

  override describeTruth(): Record<string, unknown> {
    return {
      kind: "service",
      ...super.describeTruth(),
      runningRequests: this.#running.size,
    };
  }

  protected override abortRuns(): void {
    for (const run of this.#running) this.#endRun(run, "crashed");
  }

  async #handleCall(context: Context<NodeEnv>): Promise<Response> {
    const body = await context.req.text();
    const requestId = context.req.header("x-request-id") ??
      `anonymous-${++this.#anonymousRequests}`;
    const rejection = this.#checkAdmission();
    if (rejection) return rejection;
    const faults = this.consumeResponseFaults();
    if (faults.closeBeforeRun) return this.#destroy(context);
    const idempotencyKey = context.req.header("idempotency-key") ?? "";
    return this.#execute({ context, requestId, idempotencyKey, body, faults });
  }

  #checkAdmission(): Response | undefined {
    const { leaving, refuseBusy } = this.currentFaults;
    if (leaving) {
      return notRunResponse(503, "leaving", "this service is leaving");
    }
    if (refuseBusy || this.#running.size >= this.#options.maxRunningRequests) {
      return notRunResponse(429, "busy", "too many calls are running");
    }
    return undefined;
  }

  async #execute(call: ServiceCall): Promise<Response> {
    const { context, faults } = call;
    const run = this.#startRun(call);
    if (this.crashOnPoison(call.body, call.requestId)) {
      return RESPONSE_ALREADY_SENT;
    }
    await sleep(this.#options.runMs + faults.lateAnswersMs);
    while (faults.hang && run.end === "running") await sleep(10);
    if (run.end !== "running") return this.#destroy(context);
    const text = JSON.stringify(this.#createResponseBody(call));
    if (faults.loseAnswers || faults.truncateAnswers) {
      this.#endRun(run, "cut");
      return faults.loseAnswers
        ? this.#destroy(context)
        : this.#truncate(context, text);
    }
    run.bytesSent = Buffer.byteLength(text);
    this.#endRun(run, "completed");
    return this.#respond(call, text);
  }

  #startRun(call: ServiceCall): Run {
    const run = this.truth.runs.start({
      target: this.name,
      requestId: call.requestId,
      idempotencyKey: call.idempotencyKey,
      team: call.context.req.header("x-coltsfoot-team") ?? "",
    });
    this.truth.admissions.admit(this.name, call.requestId);
    this.#running.add(run);
    this.#recordLoad();
    return run;
  }

  #endRun(run: Run, end: "completed" | "cut" | "crashed"): void {
    if (!this.#running.delete(run)) return;
    this.truth.runs.finish(run, end);
    this.truth.admissions.release(this.name);
    this.#recordLoad();
  }

  #recordLoad(): void {
    this.recordLoad({
      running_requests: this.#running.size,
      waiting_requests: 0,
      running_tokens: 0,
    });
  }

  #createResponseBody(call: ServiceCall): ServiceResponse {
    const { context, body } = call;
    const { paddingBytes } = this.#options;
    return {
      target: this.name,
      request_id: call.requestId,
      idempotency_key: call.idempotencyKey,
      method: context.req.method,
      path: context.req.path,
      body_sha256: createHash("sha256").update(body).digest("hex"),
      ...(paddingBytes > 0 ? { padding: "p".repeat(paddingBytes) } : {}),
    };
  }

  #respond(call: ServiceCall, text: string): Response {
    const { faults, requestId, idempotencyKey } = call;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "x-request-id": faults.wrongId ? "of-another-request" : requestId,
    };
    if (idempotencyKey !== "") headers["idempotency-key"] = idempotencyKey;
    return new Response(text, { status: faults.failStatus ?? 200, headers });
  }

  #truncate(context: Context<NodeEnv>, text: string): Response {
    const { outgoing } = context.env;
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    outgoing.write(text.slice(0, Math.floor(text.length / 2)));
    setImmediate(() => outgoing.destroy());
    return RESPONSE_ALREADY_SENT;
  }

  #destroy(context: Context<NodeEnv>): Response {
    context.env.outgoing.destroy();
    return RESPONSE_ALREADY_SENT;
  }
}

/** Starts a plain service. */
export function startPlainService(
  settings: ServiceSettings,
  truth?: SharedTruth,
): Promise<PlainService> {
  return PlainService.start(settings, truth);
}
