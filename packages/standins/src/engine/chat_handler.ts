import type { ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Context } from "hono";
import { z } from "zod";
import {
  type NodeEnv,
  notRunResponse,
  parseJsonText,
  readJsonBody,
} from "../http/index.ts";
import type { Run, RunEnd, SharedTruth } from "../truth/index.ts";
import { type ExpectedCompletion, expectedCompletion } from "./completion.ts";
import {
  BufferedResponseWriter,
  type ResponseWriter,
  StreamResponseWriter,
} from "./response_writer.ts";
import type { Batch } from "./batch.ts";
import { ChatJob } from "./chat_job.ts";
import {
  type ChatHeaders,
  type ChatRequest,
  chatRequestSchema,
  readChatHeaders,
} from "./chat_request.ts";
import type { EngineFaults } from "./engine_faults.ts";
import type { EngineOptions } from "./engine_options.ts";
import type { PrefixCache } from "./prefix_cache.ts";
import { ForeignChats } from "./foreign_chats.ts";
import { listPrefixes, type Message, type Prefix } from "./prompt.ts";

/** The completion id that the faults `wrongId` and `crossedAnswers` send. */
export const FOREIGN_COMPLETION_ID = "chatcmpl-of-another-request";

const cancelSchema = z.object({ request_id: z.string().min(1) });

/** The dependencies of a chat handler, provided by its engine. */
export interface ChatHandlerDependencies {
  readonly options: EngineOptions;
  readonly truth: SharedTruth;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly models: ReadonlySet<string>;
  readonly faults: () => EngineFaults;
  /** Returns the faults of one response; counts it in `remainingRequests`. */
  readonly consumeResponseFaults: () => EngineFaults;
  readonly crash: () => void;
  readonly crashOnPoison: (body: string, requestId: string) => boolean;
}

interface Prompt {
  readonly prefixes: readonly Prefix[];
  readonly tokens: number;
  readonly cachedTokens: number;
  readonly returningTokens: number;
}

/** Rejects or batches chat requests, and cancels them on request. */
export class ChatHandler {
  readonly #dependencies: ChatHandlerDependencies;
  readonly #jobs = new Map<string, ChatJob>();
  readonly #foreignChats = new ForeignChats();

  constructor(dependencies: ChatHandlerDependencies) {
    this.#dependencies = dependencies;
  }

  async handleChat(context: Context<NodeEnv>): Promise<Response> {
    const text = await context.req.text();
    const headers = readChatHeaders((name) => context.req.header(name));
    const crashesLater = this.#dependencies.faults().poisonAfterTokens > 0;
    if (
      !crashesLater &&
      this.#dependencies.crashOnPoison(text, headers.requestId)
    ) return RESPONSE_ALREADY_SENT;
    const body = parseJsonText(text, chatRequestSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    const rejection = this.#checkAdmission(body.value);
    if (rejection) return rejection;
    this.#admit(headers, body.value, context.env.outgoing);
    return RESPONSE_ALREADY_SENT;
  }

  async handleCancel(context: Context<NodeEnv>): Promise<Response> {
    const body = await readJsonBody(context, cancelSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    const job = this.#jobs.get(body.value.request_id);
    const isCancelled = job !== undefined &&
      this.#dependencies.batch.cancel(job);
    return context.json({ cancelled: isCancelled });
  }

  #checkAdmission(request: ChatRequest): Response | undefined {
    const { options, batch, models } = this.#dependencies;
    const faults = this.#dependencies.faults();
    if (faults.leaving) {
      return notRunResponse(503, "leaving", "this engine is leaving");
    }
    const inFlightRequests = batch.runningRequests + batch.waitingRequests;
    const maxRequests = options.maxRunningRequests + options.maxWaitingRequests;
    if (faults.refuseBusy || inFlightRequests >= maxRequests) {
      return notRunResponse(429, "busy", "the batch and the queue are full");
    }
    if (models.size > 0 && !models.has(request.model)) {
      return notRunResponse(
        404,
        "model_not_found",
        `model: ${request.model} is not loaded here`,
      );
    }
    return undefined;
  }

  #admit(
    headers: ChatHeaders,
    request: ChatRequest,
    response: ServerResponse,
  ): void {
    const prompt = this.#readPrompt(request.messages);
    const run = this.#startRun(headers, prompt);
    const job = this.#createJob(headers, request, response, prompt, run);
    this.#jobs.set(headers.requestId, job);
    response.on("error", () => {});
    response.on("close", () => {
      if (run.end === "running") this.#dependencies.batch.cancel(job);
    });
    this.#dependencies.batch.add(job);
  }

  #readPrompt(messages: readonly Message[]): Prompt {
    const { cache, truth } = this.#dependencies;
    const prefixes = listPrefixes(messages);
    let returningTokens = 0;
    let isReturning = true;
    for (const prefix of prefixes) {
      isReturning &&= truth.prefixes.has(prefix.hash);
      if (isReturning) returningTokens += prefix.tokens;
    }
    const cachedTokens = cache.match(prefixes);
    this.#storePrefixes(prefixes);
    const tokens = prefixes.reduce((sum, prefix) => sum + prefix.tokens, 0);
    return { prefixes, tokens, cachedTokens, returningTokens };
  }

  #storePrefixes(prefixes: readonly Prefix[]): void {
    this.#dependencies.cache.store(prefixes);
    for (const prefix of prefixes) {
      this.#dependencies.truth.prefixes.add(prefix.hash);
    }
  }

  #startRun(headers: ChatHeaders, prompt: Prompt): Run {
    const { truth, options } = this.#dependencies;
    truth.admissions.admit(options.name, headers.requestId);
    return truth.runs.start({
      target: options.name,
      requestId: headers.requestId,
      team: headers.team,
      chat: headers.chat,
      resumedAfterTokens: headers.resumeAfterTokens,
      promptTokens: prompt.tokens,
      returningTokens: prompt.returningTokens,
      reusedTokens: Math.min(prompt.cachedTokens, prompt.returningTokens),
    });
  }

  #createJob(
    headers: ChatHeaders,
    request: ChatRequest,
    response: ServerResponse,
    prompt: Prompt,
    run: Run,
  ): ChatJob {
    const maxTokens = request.max_completion_tokens ?? request.max_tokens ??
      undefined;
    const completion = expectedCompletion(request.messages, maxTokens);
    const faults = withLaterCrash(
      this.#dependencies.consumeResponseFaults(),
      request,
      headers.resumeAfterTokens,
    );
    const prefillTokens = prompt.tokens - prompt.cachedTokens +
      headers.resumeAfterTokens;
    return new ChatJob({
      priority: headers.priority,
      prefillMs: prefillTokens * this.#dependencies.options.prefillMsPerToken,
      promptTokens: prompt.tokens,
      cachedTokens: prompt.cachedTokens,
      resumeAfterTokens: headers.resumeAfterTokens,
      completion,
      crossedCompletion: expectedCompletion(
        this.#foreignChats.recordAndGetForeign(headers.chat, request.messages),
        maxTokens,
      ),
      faults,
      createWriter: () =>
        this.#createWriter(headers, request, response, run, faults),
      run,
      crash: this.#dependencies.crash,
      onEnd: (end) =>
        this.#endJob(headers.requestId, request, completion, run, end),
    });
  }

  #createWriter(
    headers: ChatHeaders,
    request: ChatRequest,
    response: ServerResponse,
    run: Run,
    faults: EngineFaults,
  ): ResponseWriter {
    const isForeign = faults.wrongId || faults.crossedAnswers;
    const head = {
      requestId: headers.requestId,
      completionId: isForeign
        ? FOREIGN_COMPLETION_ID
        : `chatcmpl-${headers.requestId}`,
      model: request.model,
    };
    const { sendsEventIds } = this.#dependencies.options;
    return request.stream
      ? new StreamResponseWriter(response, head, run, sendsEventIds)
      : new BufferedResponseWriter(response, head, run);
  }

  #endJob(
    requestId: string,
    request: ChatRequest,
    completion: ExpectedCompletion,
    run: Run,
    end: RunEnd,
  ): void {
    const { truth, options } = this.#dependencies;
    this.#jobs.delete(requestId);
    truth.admissions.release(options.name);
    truth.runs.finish(run, end);
    if (end !== "completed") return;
    this.#storePrefixes(listPrefixes([
      ...request.messages,
      { role: "assistant", content: completion.text },
    ]));
  }
}

/** Crashes the engine in the midst of a response to a poisoned request. */
function withLaterCrash(
  faults: EngineFaults,
  { messages }: ChatRequest,
  resumeAfterTokens: number,
): EngineFaults {
  const { poisonMarkers, poisonAfterTokens } = faults;
  const text = JSON.stringify(messages);
  const isPoisoned = poisonMarkers.some((marker) => text.includes(marker));
  if (!isPoisoned || poisonAfterTokens === 0) return faults;
  return { ...faults, killAfterTokens: resumeAfterTokens + poisonAfterTokens };
}
