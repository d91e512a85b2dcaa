/**
 * A stand-in of a worker. It registers itself in the store, runs one request
 * for each connection at a time, and answers as PROTOCOL.md tells.
 */
import { createServer } from "node:http";
import { HOST, listenOnFreePort } from "./net.mjs";
import { log } from "./record.mjs";

/** How long a worker serves on after it said that it leaves. */
const DRAIN_MS = 2_500;

export class Worker {
  runs = [];
  rejections = 0;
  #options;
  #server;
  #sequence = 0;
  #running = 0;
  #isDown = true;

  /**
   * `options`: store, id, service, zone, slots, workMs and `onRun`, which
   * may take over the answer to a request and then returns true.
   */
  constructor(options) {
    this.#options = { slots: 64, workMs: 20, zone: "cba-a", ...options };
    this.id = options.id;
  }

  async start(port = 0) {
    const { store } = this.#options;
    this.born = Date.now();
    this.#sequence = 0;
    this.#running = 0;
    this.#server = createServer((request, response) => {
      void this.#onRequest(request, response);
    });
    this.#server.keepAliveTimeout = 30_000;
    if (port === 0) this.port = await listenOnFreePort(this.#server);
    else {
      this.port = port;
      await new Promise((resolve) => this.#server.listen(port, HOST, resolve));
    }
    this.#isDown = false;
    // Later heartbeats change the sequence only, and so not the entry.
    store.write(`servers/${this.id}`, this.#entry("ready"));
  }

  /** Says that it leaves, serves on for a while and ends. */
  async leave(drainMs = DRAIN_MS) {
    const { store } = this.#options;
    store.write(`servers/${this.id}`, this.#entry("draining"));
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    store.remove(`servers/${this.id}`);
    this.crash();
  }

  /** Ends at once, without a word to anybody. */
  crash() {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #entry(state) {
    const { service, zone, slots } = this.#options;
    this.#sequence += 1;
    return {
      service,
      address: `${HOST}:${this.port}`,
      zone,
      version: "v1",
      slot_count: slots,
      state,
      cold_left_ms: 0,
      sequence: this.#sequence,
      born: this.born,
    };
  }

  async #onRequest(request, response) {
    const { service, slots, workMs, onRun } = this.#options;
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    const id = request.headers["x-request-id"];
    if (request.url === "/health") {
      response.writeHead(200, { "X-Instance-Id": this.id });
      return response.end();
    }
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.rejections += 1;
      response.writeHead(421, { "X-Instance-Id": this.id });
      return response.end();
    }
    if (this.#running >= slots) {
      this.rejections += 1;
      response.writeHead(503, { "X-Not-Executed": "1", "X-Request-Id": id });
      return response.end();
    }
    const run = {
      id,
      worker: this.id,
      service,
      method: request.method,
      path: request.url,
      body,
      headers: request.headers,
      atMs: performance.now(),
    };
    this.runs.push(run);
    log(`run ${id} ${request.url} at ${this.id} of ${service}`);
    this.#running += 1;
    response.on("close", () => this.#running -= 1);
    if (onRun?.(run, response, this)) return;
    await new Promise((resolve) => setTimeout(resolve, workMs));
    if (this.#isDown || response.destroyed) return;
    this.answer(run, response);
  }

  /** The head of a good answer. */
  headOf(run, extra = {}) {
    const { slots } = this.#options;
    return {
      "X-Request-Id": run.id,
      "X-Response-Seal": `seal.${run.id}`,
      "X-Server-Load": `${this.#running},0,${slots}`,
      ...extra,
    };
  }

  answer(run, response) {
    const isStream = run.headers["x-token-usage"] !== undefined;
    if (!isStream) {
      const body = Buffer.from(`answer to ${run.id}`);
      const extra = { "Content-Length": String(body.length) };
      response.writeHead(200, this.headOf(run, extra));
      return response.end(body);
    }
    response.writeHead(
      200,
      this.headOf(run, { "Content-Type": "text/event-stream" }),
    );
    const first = Number(run.headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= 3; event++) {
      response.write(`id: ${event}\ndata: piece ${event} of ${run.id}\n\n`);
    }
    response.end();
  }
}
