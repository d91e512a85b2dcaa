import { createHash } from "node:crypto";
import { expectedCompletion, type Message } from "@coltsfootford/standins";
import { Agent, type Dispatcher } from "undici";

const STATUS_OK = 200;
const DATA = "data: ";
const OUTCOME_COMMENT = ": outcome=";

/** A chat request that a client sends. */
export interface ChatCall {
  readonly team: string;
  readonly chat: string;
  readonly model: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly isStream: boolean;
  readonly priority?: number;
  readonly deadlineMs?: number;
}

/** A request to a plain service. */
export interface ServiceCall {
  readonly team: string;
  readonly route: string;
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
}

/** What a client observed of its request. */
export interface CallResult {
  /** HTTP status; 0 if the connection failed before a response. */
  readonly status: number;
  /** Outcome that the fleet reported for the request. */
  readonly outcome: string;
  /** Text of a chat response; the body of a service response or an error. */
  readonly text: string;
  /** Whether the response ended as a complete one does. */
  readonly isEnded: boolean;
  /** Whether the text is the complete response to this very request. */
  readonly isOwnAndComplete: boolean;
  /** The id inside the chat response. */
  readonly responseId: string;
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly cachedTokens: number;
}

interface PartialResult {
  text: string;
  isEnded: boolean;
  outcome: string;
  responseId: string;
  cachedTokens: number;
  firstByteMs: number;
}

/** An ordinary client that reuses its connections. */
export class FleetClient {
  readonly #agent = new Agent({ connections: 256, pipelining: 1 });

  async chat(baseUrl: string, call: ChatCall): Promise<CallResult> {
    const startedMs = performance.now();
    const partial = createPartialResult();
    let status = 0;
    try {
      const response = await this.#post(
        `${baseUrl}/v1/chat/completions`,
        chatHeaders(call),
        JSON.stringify({
          model: call.model,
          messages: call.messages,
          max_tokens: call.maxTokens,
          stream: call.isStream,
        }),
      );
      status = response.statusCode;
      partial.outcome = readOutcome(response);
      const isEventStream = status === STATUS_OK && call.isStream;
      if (isEventStream) await readStream(response, partial, startedMs);
      else await readBuffered(response, partial, startedMs);
    } catch {
      // A failed connection shows as a response that has not ended.
    }
    const expected = expectedCompletion(call.messages, call.maxTokens).text;
    const isOwnAndComplete = status === STATUS_OK && partial.isEnded &&
      partial.text === expected;
    return createCallResult(partial, status, isOwnAndComplete, startedMs);
  }

  async service(baseUrl: string, call: ServiceCall): Promise<CallResult> {
    const startedMs = performance.now();
    const partial = createPartialResult();
    let status = 0;
    let isOwn = false;
    try {
      const response = await this.#post(
        `${baseUrl}/services/${call.route}${call.path}`,
        serviceHeaders(call),
        call.body,
      );
      status = response.statusCode;
      partial.outcome = readOutcome(response);
      partial.text = await response.body.text();
      partial.isEnded = true;
      isOwn = isOwnServiceResponse(call, partial.text);
    } catch {
      // A failed connection shows as a response that has not ended.
    }
    return createCallResult(
      partial,
      status,
      status === STATUS_OK && isOwn,
      startedMs,
    );
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #post(
    url: string,
    headers: Record<string, string>,
    body: string,
  ): Promise<Dispatcher.ResponseData> {
    const { origin, pathname, search } = new URL(url);
    return this.#agent.request({
      origin,
      path: pathname + search,
      method: "POST",
      headers: { "content-type": "application/json", ...headers },
      body,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

function createPartialResult(): PartialResult {
  return {
    text: "",
    isEnded: false,
    outcome: "",
    responseId: "",
    cachedTokens: 0,
    firstByteMs: 0,
  };
}

function chatHeaders(call: ChatCall): Record<string, string> {
  return createHeaders({
    "x-coltsfoot-team": call.team,
    "x-coltsfoot-chat": call.chat,
    "x-coltsfoot-priority": call.priority,
    "x-coltsfoot-deadline-ms": call.deadlineMs,
  });
}

function serviceHeaders(call: ServiceCall): Record<string, string> {
  return createHeaders({
    "x-coltsfoot-team": call.team,
    "idempotency-key": call.idempotencyKey,
    "x-coltsfoot-deadline-ms": call.deadlineMs,
  });
}

/** Omits the headers that have no value. */
function createHeaders(
  values: Record<string, string | number | undefined>,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(values)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}

function readOutcome(response: Dispatcher.ResponseData): string {
  return String(response.headers["x-coltsfoot-outcome"] ?? "");
}

/** Reads server-sent events up to their end marker or the end of the body. */
async function readStream(
  response: Dispatcher.ResponseData,
  partial: PartialResult,
  startedMs: number,
): Promise<void> {
  let rest = "";
  for await (const chunk of response.body) {
    partial.firstByteMs ||= performance.now() - startedMs;
    const lines = (rest + String(chunk)).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) readLine(line, partial);
  }
}

function readLine(line: string, partial: PartialResult): void {
  if (line.startsWith(OUTCOME_COMMENT)) {
    partial.outcome = line.slice(OUTCOME_COMMENT.length);
  }
  if (!line.startsWith(DATA)) return;
  const data = line.slice(DATA.length);
  if (data === "[DONE]") {
    partial.isEnded = true;
    return;
  }
  const chunk = JSON.parse(data);
  if (chunk.error) partial.outcome = chunk.error.outcome ?? "";
  partial.responseId = chunk.id ?? partial.responseId;
  partial.text += chunk.choices?.[0]?.delta?.content ?? "";
  partial.cachedTokens = chunk.usage?.prompt_tokens_details?.cached_tokens ??
    partial.cachedTokens;
}

async function readBuffered(
  response: Dispatcher.ResponseData,
  partial: PartialResult,
  startedMs: number,
): Promise<void> {
  const text = await response.body.text();
  partial.firstByteMs = performance.now() - startedMs;
  partial.text = text;
  partial.isEnded = true;
  if (response.statusCode !== STATUS_OK) return;
  const body = JSON.parse(text);
  partial.responseId = body.id;
  partial.text = body.choices[0].message.content;
  partial.cachedTokens = body.usage?.prompt_tokens_details?.cached_tokens ??
    0;
}

/** Whether a service response echoes this request. */
function isOwnServiceResponse(call: ServiceCall, text: string): boolean {
  try {
    const response = JSON.parse(text);
    return response.path === call.path &&
      response.body_sha256 === sha256(call.body) &&
      response.idempotency_key === (call.idempotencyKey ?? "");
  } catch {
    return false;
  }
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function createCallResult(
  partial: PartialResult,
  status: number,
  isOwnAndComplete: boolean,
  startedMs: number,
): CallResult {
  return {
    ...partial,
    status,
    isOwnAndComplete,
    totalMs: performance.now() - startedMs,
  };
}
