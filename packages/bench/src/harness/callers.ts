import { createHash } from "node:crypto";
import { expectedCompletion, type Message } from "@coltsfootford/standins";
import { Agent, type Dispatcher } from "undici";

const STATUS_OK = 200;
const DATA = "data: ";
const OUTCOME_COMMENT = ": outcome=";

/** A chat request of a caller. */
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

/** A call to a plain service. */
export interface ServiceCall {
  readonly team: string;
  readonly route: string;
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
}

/** What a caller saw of its request. */
export interface CallResult {
  /** HTTP status; 0 where the connection failed before an answer. */
  readonly status: number;
  /** What the fleet says became of the request. */
  readonly outcome: string;
  /** Text of the answer, or the body of a service's answer or an error. */
  readonly text: string;
  /** Whether the answer ended as a whole one does. */
  readonly isEnded: boolean;
  /** Whether the text is the whole answer to this very request. */
  readonly isOwnAndWhole: boolean;
  /** The id inside a chat's answer. */
  readonly answerId: string;
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly cachedTokens: number;
}

interface Collected {
  text: string;
  isEnded: boolean;
  outcome: string;
  answerId: string;
  cachedTokens: number;
  firstByteMs: number;
}

/** An ordinary caller, who keeps its connections. */
export class Caller {
  readonly #agent = new Agent({ connections: 256, pipelining: 1 });

  async chat(baseUrl: string, call: ChatCall): Promise<CallResult> {
    const startedMs = performance.now();
    const collected = createCollected();
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
      collected.outcome = readOutcome(response);
      const isEventStream = status === STATUS_OK && call.isStream;
      if (isEventStream) await readStream(response, collected, startedMs);
      else await readWhole(response, collected, startedMs);
    } catch {
      // A connection that fails shows as an answer without its end.
    }
    const expected = expectedCompletion(call.messages, call.maxTokens).text;
    const isOwnAndWhole = status === STATUS_OK && collected.isEnded &&
      collected.text === expected;
    return finish(collected, status, isOwnAndWhole, startedMs);
  }

  async service(baseUrl: string, call: ServiceCall): Promise<CallResult> {
    const startedMs = performance.now();
    const collected = createCollected();
    let status = 0;
    let isOwn = false;
    try {
      const response = await this.#post(
        `${baseUrl}/services/${call.route}${call.path}`,
        serviceHeaders(call),
        call.body,
      );
      status = response.statusCode;
      collected.outcome = readOutcome(response);
      collected.text = await response.body.text();
      collected.isEnded = true;
      isOwn = isOwnServiceAnswer(call, collected.text);
    } catch {
      // A connection that fails shows as an answer without its end.
    }
    return finish(collected, status, status === STATUS_OK && isOwn, startedMs);
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

function createCollected(): Collected {
  return {
    text: "",
    isEnded: false,
    outcome: "",
    answerId: "",
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

/** Leaves out the headers that have no value. */
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
  collected: Collected,
  startedMs: number,
): Promise<void> {
  let rest = "";
  for await (const chunk of response.body) {
    collected.firstByteMs ||= performance.now() - startedMs;
    const lines = (rest + String(chunk)).split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) readLine(line, collected);
  }
}

function readLine(line: string, collected: Collected): void {
  if (line.startsWith(OUTCOME_COMMENT)) {
    collected.outcome = line.slice(OUTCOME_COMMENT.length);
  }
  if (!line.startsWith(DATA)) return;
  const data = line.slice(DATA.length);
  if (data === "[DONE]") {
    collected.isEnded = true;
    return;
  }
  const chunk = JSON.parse(data);
  if (chunk.error) collected.outcome = chunk.error.outcome ?? "";
  collected.answerId = chunk.id ?? collected.answerId;
  collected.text += chunk.choices?.[0]?.delta?.content ?? "";
  collected.cachedTokens = chunk.usage?.prompt_tokens_details?.cached_tokens ??
    collected.cachedTokens;
}

async function readWhole(
  response: Dispatcher.ResponseData,
  collected: Collected,
  startedMs: number,
): Promise<void> {
  const text = await response.body.text();
  collected.firstByteMs = performance.now() - startedMs;
  collected.text = text;
  collected.isEnded = true;
  if (response.statusCode !== STATUS_OK) return;
  const answer = JSON.parse(text);
  collected.answerId = answer.id;
  collected.text = answer.choices[0].message.content;
  collected.cachedTokens = answer.usage?.prompt_tokens_details?.cached_tokens ??
    0;
}

/** Whether a service's answer repeats what this call was. */
function isOwnServiceAnswer(call: ServiceCall, text: string): boolean {
  try {
    const answer = JSON.parse(text);
    return answer.path === call.path &&
      answer.body_sha256 === sha256(call.body) &&
      answer.idempotency_key === (call.idempotencyKey ?? "");
  } catch {
    return false;
  }
}

function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function finish(
  collected: Collected,
  status: number,
  isOwnAndWhole: boolean,
  startedMs: number,
): CallResult {
  return {
    ...collected,
    status,
    isOwnAndWhole,
    totalMs: performance.now() - startedMs,
  };
}
