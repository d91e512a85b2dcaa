import type { ServerResponse } from "node:http";
import type { Run } from "../truth/index.ts";

/** The identifiers that a response carries. */
export interface ResponseHead {
  /** Value of the echoed `x-request-id` header. */
  readonly requestId: string;
  /**
   * Id in the body: `chatcmpl-` and the request id, unless a fault replaces it.
   */
  readonly completionId: string;
  readonly model: string;
}

/** Token counts of a response in the OpenAI format. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** Writes one response to its connection, token by token. */
export abstract class ResponseWriter {
  protected readonly response: ServerResponse;
  protected readonly head: ResponseHead;
  protected readonly run: Run;
  protected readonly createdSeconds = Math.floor(Date.now() / 1000);

  constructor(response: ServerResponse, head: ResponseHead, run: Run) {
    this.response = response;
    this.head = head;
    this.run = run;
  }

  /** Whether the connection must drain before the next token is written. */
  get isBlocked(): boolean {
    return this.response.writableNeedDrain;
  }

  abstract writeToken(index: number, token: string): void;

  /** Writes the event of a token a second time if the format has events. */
  abstract writeDuplicateToken(index: number, token: string): void;

  /** Ends a complete response. */
  abstract finish(finishReason: string, usage: Usage): void;

  /** Ends the response and writes its content a second time. */
  abstract finishWithDuplicate(
    tokens: readonly string[],
    finishReason: string,
    usage: Usage,
  ): void;

  /** Ends the body early: without an error, or by destroying the connection. */
  abstract truncate(isClean: boolean): void;

  protected send(text: string): void {
    this.run.bytesSent += Buffer.byteLength(text);
    this.response.write(text);
  }
}

/** Writes a response as server-sent events, one for each token. */
export class StreamResponseWriter extends ResponseWriter {
  readonly #sendsEventIds: boolean;
  readonly #prefix: string;
  #hasSentRole = false;

  constructor(
    response: ServerResponse,
    head: ResponseHead,
    run: Run,
    sendsEventIds: boolean,
  ) {
    super(response, head, run);
    this.#sendsEventIds = sendsEventIds;
    this.#prefix = `data: {"id":${JSON.stringify(head.completionId)},` +
      `"object":"chat.completion.chunk","created":${this.createdSeconds},` +
      `"model":${JSON.stringify(head.model)},`;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
      "x-request-id": head.requestId,
    });
    response.flushHeaders();
  }

  override writeToken(index: number, token: string): void {
    const role = this.#hasSentRole ? "" : `"role":"assistant",`;
    this.#hasSentRole = true;
    const id = this.#sendsEventIds ? `\nid: ${index}` : "";
    this.send(
      `${this.#prefix}"choices":[{"index":0,"delta":{${role}"content":` +
        `${JSON.stringify(token)}},"finish_reason":null}]}${id}\n\n`,
    );
  }

  override writeDuplicateToken(index: number, token: string): void {
    this.writeToken(index, token);
  }

  override finish(finishReason: string, usage: Usage): void {
    this.send(
      `${this.#prefix}"choices":[{"index":0,"delta":{},"finish_reason":` +
        `"${finishReason}"}],"usage":${JSON.stringify(usage)}}\n\n` +
        "data: [DONE]\n\n",
    );
    this.response.end();
  }

  override finishWithDuplicate(
    tokens: readonly string[],
    finishReason: string,
    usage: Usage,
  ): void {
    tokens.forEach((token, index) => this.writeToken(index, token));
    this.finish(finishReason, usage);
  }

  override truncate(isClean: boolean): void {
    if (isClean) this.response.end();
    else this.response.destroy();
  }
}

/** Buffers all tokens and writes the response as one JSON body. */
export class BufferedResponseWriter extends ResponseWriter {
  readonly #tokens: string[] = [];

  override writeToken(_index: number, token: string): void {
    this.#tokens.push(token);
  }

  override writeDuplicateToken(_index: number, _token: string): void {
    // A buffered response has no events to duplicate.
  }

  override finish(finishReason: string, usage: Usage): void {
    const body = this.#body(finishReason, usage);
    this.#writeHead(Buffer.byteLength(body));
    this.send(body);
    this.response.end();
  }

  /**
   * Writes the second response after the first on the same connection, where
   * a client may match it to its next request.
   */
  override finishWithDuplicate(
    _tokens: readonly string[],
    finishReason: string,
    usage: Usage,
  ): void {
    const body = this.#body(finishReason, usage);
    const { socket } = this.response;
    this.response.once("finish", () => {
      socket?.write(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" +
          `x-request-id: ${this.head.requestId}\r\n` +
          `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
    });
    this.finish(finishReason, usage);
  }

  override truncate(isClean: boolean): void {
    const body = this.#body("stop", {
      prompt_tokens: 0,
      completion_tokens: this.#tokens.length,
      total_tokens: this.#tokens.length,
      prompt_tokens_details: { cached_tokens: 0 },
    });
    const firstHalf = body.slice(0, Math.floor(body.length / 2));
    this.#writeHead(isClean ? undefined : Buffer.byteLength(body));
    this.send(firstHalf);
    if (isClean) this.response.end();
    else setImmediate(() => this.response.destroy());
  }

  #body(finishReason: string, usage: Usage): string {
    return JSON.stringify({
      id: this.head.completionId,
      object: "chat.completion",
      created: this.createdSeconds,
      model: this.head.model,
      choices: [{
        index: 0,
        message: { role: "assistant", content: this.#tokens.join("") },
        finish_reason: finishReason,
      }],
      usage,
    });
  }

  #writeHead(sizeBytes: number | undefined): void {
    this.response.writeHead(200, {
      "content-type": "application/json",
      "x-request-id": this.head.requestId,
      ...(sizeBytes === undefined ? {} : { "content-length": sizeBytes }),
    });
  }
}
