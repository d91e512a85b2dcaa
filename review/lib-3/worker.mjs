// A small stand-in for a worker: reads requests, and writes raw HTTP/1.1.
import { createServer } from "node:net";
import { HOST } from "./fleet.mjs";

const HEAD_END = "\r\n\r\n";

/** The next request of `bytes` (latin1), or undefined while it is not whole. */
export function parseMessage(bytes) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd === -1) return undefined;
  const [firstLine, ...lines] = bytes.slice(0, headEnd).split("\r\n");
  const headers = new Map();
  for (const line of lines) {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon).toLowerCase();
    if (!headers.has(name)) headers.set(name, line.slice(colon + 1).trim());
  }
  const length = Number(headers.get("content-length") ?? 0);
  const bodyAt = headEnd + HEAD_END.length;
  if (bytes.length < bodyAt + length) return undefined;
  const body = bytes.slice(bodyAt, bodyAt + length);
  return {
    firstLine,
    headers,
    body,
    bytes: bodyAt + length,
    headerCount: lines.length,
  };
}

/** Serves one request at a time on each connection, as a sound worker does. */
export class Worker {
  /** Called for each request that is for this worker; ends by `reply`. */
  onRequest = (_request, reply) => reply.send(200, [], `ran at ${this.id}`);
  openConnections = new Set();
  #server;

  static async start(id, service, options = {}) {
    const worker = new Worker();
    Object.assign(worker, { id, service, sequence: 1, bornMs: Date.now() });
    worker.options = options;
    worker.#server = createServer((socket) => worker.#serve(socket));
    await new Promise((resolve) =>
      worker.#server.listen(options.port ?? 0, HOST, resolve)
    );
    return worker;
  }

  get port() {
    return this.#server.address().port;
  }

  /** The entry that the worker writes into the store. */
  entry(fields = {}) {
    const { zone = "zone-a", slots = 8 } = this.options;
    return {
      service: this.service,
      address: `${HOST}:${this.port}`,
      zone,
      version: "v1",
      slot_count: slots,
      state: "ready",
      cold_left_ms: 0,
      sequence: this.sequence,
      born: this.bornMs,
      ...fields,
    };
  }

  close() {
    this.#server.close();
    for (const socket of this.openConnections) socket.destroy();
  }

  #serve(socket) {
    this.openConnections.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.openConnections.delete(socket));
    socket.on("error", () => socket.destroy());
    let received = "";
    let isBusy = false;
    const next = () => {
      if (isBusy) return;
      const request = parseMessage(received);
      if (!request) return;
      received = received.slice(request.bytes);
      isBusy = true;
      const id = request.headers.get("x-request-id");
      request.id = id;
      const expected = request.headers.get("x-expect-instance");
      const reply = {
        socket,
        write: (text) => socket.write(text, "latin1"),
        head: (status, lines) =>
          [
            `HTTP/1.1 ${status} Status`,
            `X-Request-Id: ${id}`,
            ...lines,
            "",
            "",
          ].join("\r\n"),
        done: () => {
          isBusy = false;
          next();
        },
        send: (status, lines, body) => {
          const seal = status < 500
            ? [`X-Response-Seal: ${this.id}.${id}`]
            : [];
          const framing = `Content-Length: ${body.length}`;
          reply.write(reply.head(status, [...seal, ...lines, framing]) + body);
          reply.done();
        },
      };
      if (expected !== undefined && expected !== this.id) {
        reply.write(
          `HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: ${this.id}\r\n` +
            "Content-Length: 0\r\n\r\n",
        );
        return reply.done();
      }
      this.onRequest(request, reply);
    };
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      next();
    });
  }
}
