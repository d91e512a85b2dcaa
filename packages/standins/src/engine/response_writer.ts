import type { ServerResponse } from "node:http";
import type { Run } from "../truth/index.ts";

/** What an answer says of itself. */
export interface ResponseHead {
  /** Value of the echoed `x-request-id` header. */
  readonly requestId: string;
  /** Id inside the answer, `chatcmpl-` and the request id. */
  readonly completionId: string;
  readonly model: string;
}

/** Token counts of an answer, as the OpenAI shape has them. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** Writes one answer to its connection, token by token. */
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

  /** Whether the connection has to drain before the next token. */
  get isBlocked(): boolean {
    return this.response.writableNeedDrain;
  }

  abstract writeToken(index: number, token: string): void;

  /** Writes the event of a token a second time, where tokens have events. */
  abstract writeDuplicateToken(index: number, token: string): void;

  /** Writes what ends a whole answer. */
  abstract finish(finishReason: string, usage: Usage): void;

  /** Writes the whole answer a second time, before or behind its end. */
  abstract finishWithDuplicate(
    tokens: readonly string[],
    finishReason: string,
    usage: Usage,
  ): void;

  /** Ends the body early, as a proper end or as a broken connection. */
  abstract truncate(isClean: boolean): void;

  protected send(text: string): void {
    this.run.bytesSent += Buffer.byteLength(text);
    this.response.write(text);
  }
}

/** Writes an answer as server-sent events, one for each token. */
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

/** Collects an answer and writes it as one JSON body. */
export class BufferedResponseWriter extends ResponseWriter {
  readonly #tokens: string[] = [];

  override writeToken(_index: number, token: string): void {
    this.#tokens.push(token);
  }

  override writeDuplicateToken(_index: number, _token: string): void {
    // A whole answer has no events that could come twice.
  }

  override finish(finishReason: string, usage: Usage): void {
    const body = this.#body(finishReason, usage);
    this.#writeHead(Buffer.byteLength(body));
    this.send(body);
    this.response.end();
  }

  /**
   * The second answer follows on the connection, where a client may take it
   * for the answer to its next request.
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
    const part = body.slice(0, Math.floor(body.length / 2));
    this.#writeHead(isClean ? undefined : Buffer.byteLength(body));
    this.send(part);
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
