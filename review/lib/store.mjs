/**
 * A stand-in of the platform's metadata store. It listens on one port for each
 * machine, so that it can turn single machines away while it serves the others.
 */
import { createServer } from "node:http";
import { listenOnFreePort } from "./net.mjs";

const PAGE_ITEMS = 500;

export class Store {
  #firstRevision = 10;
  #revision = this.#firstRevision;
  #items = new Map();
  #history = [];
  #leases = new Map();
  #nextLease = 1000;
  #watches = new Set();
  #doors = [];
  /** How old the revision is that a serializable read returns. */
  staleMs = 0;

  /** Opens a port for one machine; `mode` is up, silent or busy. */
  async open() {
    const door = { mode: "up", delayMs: 0, connections: new Set() };
    const server = createServer((request, response) => {
      void this.#onRequest(door, request, response);
    });
    server.on("connection", (socket) => {
      door.connections.add(socket);
      socket.on("close", () => door.connections.delete(socket));
    });
    server.keepAliveTimeout = 60_000;
    door.port = await listenOnFreePort(server);
    door.server = server;
    this.#doors.push(door);
    return door;
  }

  close() {
    for (const { server } of this.#doors) {
      server.close();
      server.closeAllConnections();
    }
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /** Open connections carry nothing any more; new ones work. */
  silenceOpenConnections() {
    for (const { connections } of this.#doors) {
      for (const socket of connections) socket.isSilent = true;
    }
  }

  /** Writes a key, as the operator or a worker does. */
  write(key, value, lease = 0) {
    this.#revision += 1;
    const bytes = Buffer.from(
      typeof value === "string" ? value : JSON.stringify(value),
    );
    const item = {
      key,
      value: bytes.toString("base64"),
      revision: this.#revision,
      created: this.#items.get(key)?.created ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#history.push({ ...item, atMs: performance.now() });
    this.#wake();
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#history.push({
      key,
      revision: this.#revision,
      tombstone: true,
      atMs: performance.now(),
    });
    this.#wake();
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Ends all leases, as an outage of the store may do. */
  lapse() {
    for (const id of [...this.#leases.keys()]) this.#endLease(id);
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    for (const { key, lease: own } of [...this.#items.values()]) {
      if (own === id) this.remove(key);
    }
    return true;
  }

  #startLease(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    const timer = setTimeout(() => this.#endLease(id), ttlMs);
    this.#leases.set(id, { ttlMs, timer });
  }

  #wake() {
    for (const watch of [...this.#watches]) watch();
  }

  async #onRequest(door, request, response) {
    const text = await readBody(request);
    const isSilent = () => door.mode === "silent" || request.socket.isSilent;
    if (isSilent()) return;
    if (door.mode === "busy") return send(response, 503, {});
    if (door.delayMs > 0) await sleep(door.delayMs);
    const url = new URL(request.url, "http://store");
    const query = Object.fromEntries(url.searchParams);
    const body = text === "" ? {} : JSON.parse(text);
    const [, , call, id] = url.pathname.split("/");
    if (call === "kv-watch") return this.#watch(isSilent, query, response);
    const [status, answer] = this.#answer(call, query, body, Number(id));
    if (isSilent()) return;
    send(response, status, answer);
  }

  /** The revision of the store some time ago. */
  #staleRevision() {
    const untilMs = performance.now() - this.staleMs;
    const entry = this.#history.findLast(({ atMs }) => atMs <= untilMs);
    return entry?.revision ?? this.#firstRevision;
  }

  #answer(call, query, body, id) {
    const as_of = query.serializable === "1"
      ? this.#staleRevision()
      : this.#revision;
    switch (call) {
      case "kv-key": {
        const item = this.#items.get(query.key);
        return item ? [200, { ...item, as_of }] : [404, { as_of }];
      }
      case "kv-range": {
        const items = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(query.prefix ?? ""))
          .filter(({ key }) => key > (query.after ?? ""))
          .sort((one, other) => (one.key < other.key ? -1 : 1));
        const page = items.slice(0, PAGE_ITEMS);
        const truncated = items.length > PAGE_ITEMS;
        return [200, { items: page, truncated, as_of }];
      }
      case "kv-txn":
        return this.#transact(body);
      case "kv-lease": {
        const lease = this.#nextLease++;
        this.#startLease(lease, body.ttl_ms);
        return [200, { lease, ttl_ms: body.ttl_ms }];
      }
      case "kv-keep": {
        const lease = this.#leases.get(id);
        if (!lease) return [404, {}];
        this.#startLease(id, lease.ttlMs);
        return [200, { ttl_ms: lease.ttlMs }];
      }
      case "kv-lease-end":
        return [this.#endLease(id) ? 200 : 404, {}];
      default:
        return [404, {}];
    }
  }

  #transact({ precondition = [], writes = [], remove = [] }) {
    const holds = precondition.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = precondition.map(({ key }) => this.#items.get(key))
        .filter((item) => item !== undefined);
      return [412, { items }];
    }
    if (writes.some(({ lease = 0 }) => lease && !this.#leases.has(lease))) {
      return [404, {}];
    }
    for (const { key, value, lease = 0 } of writes) {
      this.write(key, Buffer.from(value, "base64").toString(), lease);
    }
    for (const key of remove) this.remove(key);
    return [200, { revision: this.#revision }];
  }

  #watch(isSilent, { prefix = "", after, wait_ms }, response) {
    const from = Number(after);
    const answer = (isTimeUp) => {
      const events = this.#history.filter(({ key, revision }) =>
        revision > from && key.startsWith(prefix)
      ).map(({ atMs: _, ...event }) => event);
      if (events.length === 0 && !isTimeUp) return;
      this.#watches.delete(onChange);
      clearTimeout(timer);
      if (isSilent()) return;
      send(response, 200, { events, as_of: this.#revision });
    };
    const onChange = () => answer(false);
    const timer = setTimeout(() => answer(true), Number(wait_ms));
    response.on("close", () => {
      this.#watches.delete(onChange);
      clearTimeout(timer);
    });
    this.#watches.add(onChange);
    answer(false);
  }
}

function send(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
