// Model workers that answer with events, and crash where a case says so.
import { Worker } from "./worker.mjs";

/** The text of one event. */
export function eventText(id, event) {
  return `id: ${event}\ndata: ${id} ${event}\n\n`;
}

export function chunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** The ids of the parts that a request may share with others. */
export function sharedPartsOf(request) {
  const prefix = request.headers.get("x-prompt-prefix") ?? "";
  return prefix.split(",").slice(0, -1).map((part) => part.split(":")[0]);
}

/** Starts a stream's answer; `then` is called once its head was written. */
export function beginStream(worker, request, reply) {
  reply.write(reply.head(200, [
    `X-Response-Seal: ${worker.id}.${request.id}`,
    "Content-Type: text/event-stream",
    "Transfer-Encoding: chunked",
  ]));
}

/** Sends a whole stream of `events` events, one each `periodMs`. */
export function sendStream(worker, request, reply, { events, periodMs }) {
  beginStream(worker, request, reply);
  let event = Number(request.headers.get("last-event-id") ?? 0);
  const next = () => {
    if (reply.socket.destroyed) return;
    event += 1;
    reply.write(chunk(eventText(request.id, event)));
    if (event < events) return void setTimeout(next, periodMs);
    reply.write("0\r\n\r\n");
    reply.done();
  };
  setTimeout(next, periodMs);
}

/**
 * A place at which a worker lives. After a crash the worker is back `downMs`
 * later, at the same address, as another incarnation with another id.
 */
export class Place {
  crashes = 0;

  static async start(one, store, options) {
    const place = new Place();
    Object.assign(place, { one, store, ...options, lives: 0 });
    await place.#live();
    one.add(place);
    return place;
  }

  async #live() {
    this.lives += 1;
    const id = `${this.name}-${this.lives}`;
    const worker = await Worker.start(id, this.service, {
      port: this.port,
      slots: this.slots,
      zone: this.zone,
    });
    this.worker = worker;
    this.port = worker.port;
    worker.onRequest = (request, reply) =>
      this.onRequest(this, worker, request, reply);
    this.store.write(`servers/${id}`, worker.entry());
  }

  /** The process ends: all of its connections and its port close at once. */
  crash(downMs) {
    if (!this.worker) return;
    const { worker } = this;
    this.worker = undefined;
    this.crashes += 1;
    worker.close();
    // A worker that is silent loses its entry after three heartbeats, or when
    // it is back under another id.
    setTimeout(() => {
      if (this.isClosed) return;
      this.store.remove(`servers/${worker.id}`);
      void this.#live();
    }, downMs);
  }

  close() {
    this.isClosed = true;
    this.worker?.close();
  }
}
