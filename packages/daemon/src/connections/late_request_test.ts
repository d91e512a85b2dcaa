import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { ClientConnections } from "./client_connections.ts";

const HOST = "127.0.0.1";
const HEADERS_TIMEOUT_MS = 600;
const REQUEST_TIMEOUT_MS = 1_200;
const KEEP_ALIVE_TIMEOUT_MS = 300;
/** What Node.js adds to the keep-alive timeout. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const CHECK_PERIOD_MS = 30;
const CLIENT_TIMEOUT_MS = 5_000;
const GET = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
const [FIRST_LINE, REST] = ["POST / HTTP/1.1\r\n", "Host: test\r\n"];
const NO_BODY = "Content-Length: 0\r\n\r\n";
const BODY = "a body";
const BODY_HEAD = `Content-Length: ${BODY.length}\r\n\r\n`;

let server: Server;
let connections: ClientConnections;
/** The bodies of the requests that arrived whole, in order. */
let executed: string[];
let respond: (response: ServerResponse) => void;
const clients: TestClient[] = [];

beforeEach(async () => {
  executed = [];
  respond = (response) => response.end("done");
  server = createServer({
    connectionsCheckingInterval: CHECK_PERIOD_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  }, (request, response) => void handle(request, response));
  connections = new ClientConnections(server, new SystemTimerService());
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
});

afterEach(async () => {
  for (const { socket } of clients.splice(0)) socket.destroy();
  server.close();
  await connections.closeAll();
});

/** Stands for the forwarding of a request to a target. */
async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  let body = "";
  try {
    for await (const chunk of request) body += chunk;
  } catch {
    return;
  }
  executed.push(body);
  respond(response);
}

class TestClient {
  readonly socket: Socket;
  readonly closed: Promise<void>;
  received = "";

  constructor() {
    clients.push(this);
    const giveUp = () => this.socket.destroy();
    const timer = setTimeout(giveUp, CLIENT_TIMEOUT_MS);
    const { port } = server.address() as AddressInfo;
    this.socket = connect({ host: HOST, port, allowHalfOpen: true });
    this.socket.on("data", (chunk) => this.received += chunk);
    this.socket.on("error", () => {});
    this.closed = new Promise((resolve) => {
      this.socket.once("end", resolve);
      this.socket.once("close", () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  send(text: string): void {
    this.socket.write(text);
  }

  get statuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)]
      .map(([, status]) => status!);
  }

  async waitForStatuses(...statuses: string[]): Promise<void> {
    const isWaiting = () =>
      !this.socket.destroyed && this.statuses.length < statuses.length;
    while (isWaiting()) await sleep(5);
    expect(this.statuses).toEqual(statuses);
  }
}

/** Stops this process; what was sent before arrives meanwhile. */
function freeze(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

const KEPT = [["first", []], ["later", [GET]]] as const;

describe.each(KEPT)("the %s request of a connection", (_, earlier) => {
  let client: TestClient;

  beforeEach(async () => {
    client = new TestClient();
    for (const request of earlier) {
      client.send(request);
      await client.waitForStatuses("200");
    }
    executed = [];
    client.received = "";
  });

  // Guards against a request that executes after its client was promised by a
  // 408 that it never will.
  it("never executes once its head was late", async () => {
    client.send(FIRST_LINE);
    await client.waitForStatuses("408");
    client.send(REST + NO_BODY + GET);
    await client.closed;
    await sleep(CHECK_PERIOD_MS);
    expect(client.statuses).toEqual(["408"]);
    expect(executed).toEqual([]);
  });

  // Guards against a body that arrives after the 408, and completes its request.
  it("never executes once its body was late", async () => {
    client.send(FIRST_LINE + REST + BODY_HEAD);
    await client.waitForStatuses("408");
    client.send(BODY + GET);
    await client.closed;
    await sleep(CHECK_PERIOD_MS);
    expect(client.statuses).toEqual(["408"]);
    expect(executed).toEqual([]);
  });

  // Guards against the timers of a process that wakes, which run before it reads
  // what has arrived meanwhile.
  it("executes if its head arrived while the process was stopped", async () => {
    client.send(FIRST_LINE);
    await sleep(CHECK_PERIOD_MS);
    client.send(REST + NO_BODY);
    freeze(2 * HEADERS_TIMEOUT_MS);
    await client.waitForStatuses("200");
    expect(executed).toEqual([""]);
  });

  it("executes if its body arrived while the process was stopped", async () => {
    client.send(FIRST_LINE + REST + BODY_HEAD);
    await sleep(CHECK_PERIOD_MS);
    client.send(BODY);
    freeze(2 * REQUEST_TIMEOUT_MS);
    await client.waitForStatuses("200");
    expect(executed).toEqual([BODY]);
  });
});

describe("an idle connection", () => {
  it("is closed after its timeout", async () => {
    const client = new TestClient();
    client.send(GET);
    await client.closed;
    expect(client.statuses).toEqual(["200"]);
  });

  // Guards against an idle timeout that closes a connection on which a request
  // has arrived that was not read yet.
  it("serves a request that arrived while the process was stopped", async () => {
    const client = new TestClient();
    client.send(GET);
    await client.waitForStatuses("200");
    client.send(GET);
    freeze(KEEP_ALIVE_TIMEOUT_MS + KEEP_ALIVE_MARGIN_MS + CHECK_PERIOD_MS);
    await client.waitForStatuses("200", "200");
  });
});

describe("a head that is late behind a request", () => {
  // Guards against an earlier request that loses its response to a later one.
  it("leaves the earlier request its whole response", async () => {
    respond = (response) => {
      setTimeout(() => response.end(BODY), 2 * HEADERS_TIMEOUT_MS);
    };
    const client = new TestClient();
    client.send(GET + FIRST_LINE);
    await client.closed;
    expect(client.statuses).toEqual(["200"]);
    expect(client.received.endsWith(BODY)).toBe(true);
    client.send(REST + NO_BODY);
    await sleep(CHECK_PERIOD_MS);
    expect(executed).toEqual([""]);
  });
});
