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
import { type ExpectedAnswer, expectedAnswer } from "./answer.ts";
import {
  type AnswerWriter,
  StreamWriter,
  WholeWriter,
} from "./answer_writer.ts";
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

/** The id of an answer with the fault of a wrong id. */
export const FOREIGN_ANSWER_ID = "chatcmpl-of-another-request";

const cancelSchema = z.object({ request_id: z.string().min(1) });

/** The parts of an engine that answering a chat needs. */
export interface ChatHandlerParts {
  readonly options: EngineOptions;
  readonly truth: SharedTruth;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly models: ReadonlySet<string>;
  readonly faults: () => EngineFaults;
  /** Counts one request against the faults of answers. */
  readonly takeAnswerFaults: () => EngineFaults;
  readonly crash: () => void;
  readonly crashOnPoison: (body: string, requestId: string) => boolean;
}

interface Prompt {
  readonly prefixes: readonly Prefix[];
  readonly tokens: number;
  readonly cachedTokens: number;
  readonly returningTokens: number;
}

/** Takes chat requests, refuses or batches them, and cancels them. */
export class ChatHandler {
  readonly #parts: ChatHandlerParts;
  readonly #jobs = new Map<string, ChatJob>();
  readonly #foreign = new ForeignChats();

  constructor(parts: ChatHandlerParts) {
    this.#parts = parts;
  }

  async answerChat(context: Context<NodeEnv>): Promise<Response> {
    const text = await context.req.text();
    const headers = readChatHeaders((name) => context.req.header(name));
    if (this.#parts.crashOnPoison(text, headers.requestId)) {
      return RESPONSE_ALREADY_SENT;
    }
    const body = parseJsonText(text, chatRequestSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    const refusal = this.#refuse(body.value);
    if (refusal) return refusal;
    this.#admit(headers, body.value, context.env.outgoing);
    return RESPONSE_ALREADY_SENT;
  }

  async answerCancel(context: Context<NodeEnv>): Promise<Response> {
    const body = await readJsonBody(context, cancelSchema);
    if (!body.ok) return notRunResponse(400, "invalid_request", body.message);
    const job = this.#jobs.get(body.value.request_id);
    const isCancelled = job !== undefined && this.#parts.batch.cancel(job);
    return context.json({ cancelled: isCancelled });
  }

  #refuse(request: ChatRequest): Response | undefined {
    const { options, batch, models } = this.#parts;
    const faults = this.#parts.faults();
    if (faults.leaving) {
      return notRunResponse(503, "leaving", "this engine is leaving");
    }
    const heldRequests = batch.runningRequests + batch.waitingRequests;
    const maxRequests = options.maxRunningRequests + options.maxWaitingRequests;
    if (faults.refuseBusy || heldRequests >= maxRequests) {
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
      if (run.end === "running") this.#parts.batch.cancel(job);
    });
    this.#parts.batch.add(job);
  }

  #readPrompt(messages: readonly Message[]): Prompt {
    const { cache, truth } = this.#parts;
    const prefixes = listPrefixes(messages);
    let returningTokens = 0;
    let isReturning = true;
    for (const prefix of prefixes) {
      isReturning &&= truth.prefixes.has(prefix.hash);
      if (isReturning) returningTokens += prefix.tokens;
    }
    const cachedTokens = cache.match(prefixes);
    this.#store(prefixes);
    const tokens = prefixes.reduce((sum, prefix) => sum + prefix.tokens, 0);
    return { prefixes, tokens, cachedTokens, returningTokens };
  }

  #store(prefixes: readonly Prefix[]): void {
    this.#parts.cache.store(prefixes);
    for (const prefix of prefixes) this.#parts.truth.prefixes.add(prefix.hash);
  }

  #startRun(headers: ChatHeaders, prompt: Prompt): Run {
    const { truth, options } = this.#parts;
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
    const answer = expectedAnswer(request.messages, maxTokens);
    const faults = this.#parts.takeAnswerFaults();
    const newTokens = prompt.tokens - prompt.cachedTokens +
      headers.resumeAfterTokens;
    return new ChatJob({
      priority: headers.priority,
      prefillMs: newTokens * this.#parts.options.prefillMsPerToken,
      promptTokens: prompt.tokens,
      cachedTokens: prompt.cachedTokens,
      resumeAfterTokens: headers.resumeAfterTokens,
      answer,
      crossedAnswer: expectedAnswer(
        this.#foreign.exchange(headers.chat, request.messages),
        maxTokens,
      ),
      faults,
      createWriter: () =>
        this.#createWriter(headers, request, response, run, faults),
      run,
      crash: this.#parts.crash,
      onEnd: (end) =>
        this.#endJob(headers.requestId, request, answer, run, end),
    });
  }

  #createWriter(
    headers: ChatHeaders,
    request: ChatRequest,
    response: ServerResponse,
    run: Run,
    faults: EngineFaults,
  ): AnswerWriter {
    const isForeign = faults.wrongId || faults.crossedAnswers;
    const head = {
      requestId: headers.requestId,
      answerId: isForeign ? FOREIGN_ANSWER_ID : `chatcmpl-${headers.requestId}`,
      model: request.model,
    };
    const { sendsEventIds } = this.#parts.options;
    return request.stream
      ? new StreamWriter(response, head, run, sendsEventIds)
      : new WholeWriter(response, head, run);
  }

  #endJob(
    requestId: string,
    request: ChatRequest,
    answer: ExpectedAnswer,
    run: Run,
    end: RunEnd,
  ): void {
    const { truth, options } = this.#parts;
    this.#jobs.delete(requestId);
    truth.admissions.release(options.name);
    truth.runs.finish(run, end);
    if (end !== "completed") return;
    this.#store(listPrefixes([
      ...request.messages,
      { role: "assistant", content: answer.text },
    ]));
  }
}
