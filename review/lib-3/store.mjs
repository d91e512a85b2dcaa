// A small stand-in for the platform's store, as PROTOCOL.md describes it.
import { createServer } from "node:http";

const HISTORY = 10_000;

/** Keys with revisions and leases, a watch by long polling, transactions. */
export class Store {
  /** Calls are rejected with 503 for a machine while `isTurnedAway` says so. */
  isTurnedAway = () => false;
  era = 1;
  #revision = 1;
  #items = new Map();
  #events = [];
  #leases = new Map();
  #nextLease = 77_000;
  #waiting = new Set();
  #server;

  static async start(host = "127.0.0.1") {
    const store = new Store();
    store.#server = createServer((request, response) => {
      store.#answer(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => store.#server.listen(0, host, resolve));
    store.timer = setInterval(() => store.#expire(), 100);
    return store;
  }

  get port() {
    return this.#server.address().port;
  }

  close() {
    clearInterval(this.timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  keys() {
    return [...this.#items.keys()];
  }

  /** Writes as the operator or a worker does. */
  write(key, value) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#put(key, Buffer.from(text).toString("base64"), 0);
    this.#wake();
  }

  remove(key) {
    this.#delete(key);
    this.#wake();
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#record(item);
  }

  #delete(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, revision: this.#revision, tombstone: true });
  }

  #record(event) {
    this.#events.push(event);
    if (this.#events.length > HISTORY) this.#events.shift();
  }

  #wake() {
    for (const wake of [...this.#waiting]) wake();
  }

  #expire() {
    for (const [id, { untilMs }] of this.#leases) {
      if (performance.now() >= untilMs) this.#endLease(id);
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const { key, lease } of [...this.#items.values()]) {
      if (lease === id) this.#delete(key);
    }
    this.#wake();
  }

  async #answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, "http://store");
    const send = (status, body) => {
      response.writeHead(status, {
        "content-type": "application/json",
        "store-era": String(this.era),
      });
      response.end(JSON.stringify(body));
    };
    if (this.isTurnedAway(request)) return send(503, {});
    const query = Object.fromEntries(url.searchParams);
    const body = text === "" ? {} : JSON.parse(text);
    const [, , call, id] = url.pathname.split("/");
    const name = `${request.method} ${call}`;
    if (name === "GET kv-key") return this.#readKey(query, send);
    if (name === "GET kv-range") return this.#readRange(query, send);
    if (name === "GET kv-watch") return await this.#watch(query, send);
    if (name === "POST kv-txn") return this.#transact(body, send);
    if (name === "POST kv-lease") {
      const lease = this.#nextLease++;
      const ttlMs = body.ttl_ms;
      this.#leases.set(lease, { ttlMs, untilMs: performance.now() + ttlMs });
      return send(200, { lease, ttl_ms: ttlMs });
    }
    const lease = this.#leases.get(Number(id));
    if (!lease) return send(404, {});
    if (name === "POST kv-keep") {
      lease.untilMs = performance.now() + lease.ttlMs;
      return send(200, { ttl_ms: lease.ttlMs });
    }
    this.#endLease(Number(id));
    send(200, {});
  }

  #readKey({ key }, send) {
    const item = this.#items.get(key);
    const as_of = this.#revision;
    send(item ? 200 : 404, { ...item, as_of });
  }

  #readRange({ prefix = "", after = "" }, send) {
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(200, { items, truncated: false, as_of: this.#revision });
  }

  async #watch({ prefix = "", after, wait_ms }, send) {
    const since = Number(after);
    const oldest = this.#events[0]?.revision ?? this.#revision;
    if (since < oldest - 1 || since > this.#revision) return send(410, {});
    const find = () =>
      this.#events.filter(({ key, revision }) =>
        revision > since && key.startsWith(prefix)
      );
    if (find().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (find().length === 0 && performance.now() < untilMs) return;
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const untilMs = performance.now() + Number(wait_ms);
        const timer = setTimeout(() => {
          this.#waiting.delete(wake);
          resolve();
        }, Number(wait_ms));
        this.#waiting.add(wake);
      });
    }
    send(200, { events: find(), as_of: this.#revision });
  }

  #transact({ precondition = [], writes = [], remove = [] }, send) {
    const holds = precondition.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = precondition.flatMap(({ key }) =>
        this.#items.get(key) ?? []
      );
      return send(412, { items });
    }
    const hasLeases = writes.every(({ lease = 0 }) =>
      lease === 0 || this.#leases.has(lease)
    );
    if (!hasLeases) return send(404, {});
    for (const { key, value, lease = 0 } of writes) {
      this.#put(key, value, lease);
    }
    for (const key of remove) this.#delete(key);
    send(200, { revision: this.#revision });
    this.#wake();
  }
}
