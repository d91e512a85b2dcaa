import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";
import { ENTRY_REQUESTS } from "./testing/entry_requests.ts";

/** Three of them exceed either share of the smallest budget, 8 MiB. */
const LARGE_BYTES = 3_900_000;
/** Their responses exceed the buffers of a loopback connection. */
const PIPELINED_REQUESTS = 16;
const UPLOADS = "/services/uploads/1";
const POLL_INTERVAL_MS = 10;
const MAX_WAIT_MS = 10_000;

let fixture: EntryFixture;
let calls: number;
let responseBytes: number;
let endsResponses: boolean;

beforeEach(async () => {
  calls = 0;
  responseBytes = 4;
  endsResponses = true;
  fixture = await startEntryFixture((incoming, outgoing) => {
    // Daemons read the load of targets as well.
    if (incoming.method === "POST") calls += 1;
    outgoing.setHeader(
      "x-request-id",
      String(incoming.headers["x-request-id"]),
    );
    incoming.resume().on("end", () => {
      outgoing.write("a".repeat(responseBytes));
      if (endsResponses) outgoing.end();
    });
  });
});

afterEach(() => fixture.close());

/** A client's connection, and what has arrived on it. */
interface Client {
  readonly socket: Socket;
  receivedText: string;
}

/** Sends a request with a body of which `sentBytes` follow. */
function send(lengthBytes: number, sentBytes: number): Client {
  const { hostname, port } = new URL(fixture.baseUrl);
  const socket = connect({ host: hostname, port: Number(port) });
  const client: Client = { socket, receivedText: "" };
  socket.on("error", () => undefined);
  socket.on("data", (chunk) => client.receivedText += chunk);
  socket.write(requestHead(lengthBytes));
  socket.write(Buffer.alloc(sentBytes, "b"));
  return client;
}

function requestHead(lengthBytes: number): string {
  return `POST ${UPLOADS} HTTP/1.1\r\nHost: a\r\n` +
    `X-Coltsfoot-Team: open\r\nContent-Length: ${lengthBytes}\r\n\r\n`;
}

/** Sends requests without a body at once. */
function sendPipelined(count: number): Client {
  const client = send(0, 0);
  client.socket.write(requestHead(0).repeat(count - 1));
  return client;
}

/** Counts the responses of whole length that a client has received. */
function countWhole({ receivedText }: Client): number {
  const bodies = receivedText.match(/(?<=\r\n\r\n)a+/g) ?? [];
  return bodies.filter((body) => body.length === responseBytes).length;
}

function responseEvictions(): number {
  return fixture.metrics.counter("held_response_evictions_total");
}

/** What the daemon holds. */
function readHeldBytes(): { request: number; response: number } {
  const { gauges } = fixture.metrics.dump() as {
    gauges: Record<string, number>;
  };
  return {
    request: gauges["held_request_bytes"]!,
    response: gauges["held_response_bytes"]!,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + MAX_WAIT_MS;
  while (!condition() && performance.now() < deadlineMs) {
    await sleep(POLL_INTERVAL_MS);
  }
  expect(condition()).toBe(true);
}

function waitUntilNothingIsHeld(): Promise<void> {
  return waitUntil(() => {
    const { request, response } = readHeldBytes();
    return request === 0 && response === 0;
  });
}

// Guards against an account that fills with what is no longer held, so that the
// daemon evicts requests without need.
describe("what a daemon holds returns to zero", () => {
  it("after a complete request", async () => {
    const client = send(LARGE_BYTES, LARGE_BYTES);
    await waitUntil(() => client.receivedText.endsWith("aaaa"));
    await waitUntilNothingIsHeld();
    client.socket.destroy();
  });

  it("after a client has disconnected within its body", async () => {
    const client = send(LARGE_BYTES, LARGE_BYTES - 1);
    await waitUntil(() => readHeldBytes().request > LARGE_BYTES - 1);
    client.socket.destroy();
    await waitUntilNothingIsHeld();
  });

  it("after a client has disconnected within its response", async () => {
    responseBytes = LARGE_BYTES;
    endsResponses = false;
    const client = send(0, 0);
    await waitUntil(() => readHeldBytes().response >= LARGE_BYTES);
    client.socket.destroy();
    await waitUntilNothingIsHeld();
  });

  it("after a client has disconnected with unread responses", async () => {
    responseBytes = 2_000_000;
    const { socket } = sendPipelined(PIPELINED_REQUESTS);
    socket.pause();
    await waitUntil(() =>
      fixture.metrics.counter("requests_total") === PIPELINED_REQUESTS &&
      readHeldBytes().response > 0
    );
    socket.destroy();
    await waitUntilNothingIsHeld();
  });

  it("after all connections have been closed", async () => {
    send(LARGE_BYTES, LARGE_BYTES - 1);
    await waitUntil(() => readHeldBytes().request > LARGE_BYTES - 1);
    await fixture.close();
    await waitUntilNothingIsHeld();
  });
});

describe("a daemon that would hold too much", () => {
  // Guards against a rejection that leaves open whether the request has run.
  it("rejects a request whose body is not complete", async () => {
    const clients = [1, 2, 3].map(() => send(LARGE_BYTES, LARGE_BYTES - 1));
    const isRejected = ({ receivedText }: Client) => receivedText !== "";
    await waitUntil(() => clients.some(isRejected));
    const { socket, receivedText } = clients.find(isRejected)!;
    expect(receivedText).toMatch(/^HTTP\/1\.1 503 /);
    expect(receivedText).toMatch(/\r\nretry-after: 1\r\n/i);
    expect(receivedText).toMatch(/\r\nx-coltsfoot-outcome: not-run\r\n/i);
    await waitUntil(() => socket.destroyed);
    expect(calls).toBe(0);
    for (const client of clients) client.socket.destroy();
    await waitUntilNothingIsHeld();
  });

  // Guards against a rejection that claims that a request has not run which has.
  it("fails a request whose response is not complete", async () => {
    responseBytes = LARGE_BYTES;
    endsResponses = false;
    const clients = [1, 2, 3].map(() => send(0, 0));
    const isRejected = ({ receivedText }: Client) => receivedText !== "";
    await waitUntil(() => clients.some(isRejected));
    const { receivedText } = clients.find(isRejected)!;
    expect(receivedText).toMatch(/^HTTP\/1\.1 502 /);
    expect(receivedText).toMatch(/\r\nx-coltsfoot-outcome: unknown\r\n/i);
    expect(responseEvictions()).toBe(1);
    for (const client of clients) client.socket.destroy();
    await waitUntilNothingIsHeld();
  });

  // Guards against clients that read nothing of large responses.
  it("cuts a response that its client does not read", async () => {
    responseBytes = LARGE_BYTES;
    const client = sendPipelined(PIPELINED_REQUESTS);
    client.socket.pause();
    await waitUntil(() => responseEvictions() > 0);
    client.socket.resume();
    await waitUntilNothingIsHeld();
    expect(countWhole(client)).toBeLessThan(PIPELINED_REQUESTS);
    client.socket.destroy();
  });

  // Guards against a response that is lost because it has to wait for another.
  it("delivers responses to pipelined requests", async () => {
    const client = sendPipelined(PIPELINED_REQUESTS);
    await waitUntil(() => countWhole(client) === PIPELINED_REQUESTS);
    client.socket.destroy();
    await waitUntilNothingIsHeld();
  });
});

const UNFINISHED_EVENT_BYTES = 200_000;

// Guards against events in progress that a crowd of streams collects without
// limit.
describe("a stream that stops within an event", () => {
  it("is charged until its client has gone", async () => {
    await fixture.close();
    fixture = await startEntryFixture((incoming, outgoing) => {
      const id = String(incoming.headers["x-request-id"]);
      outgoing.setHeader("x-request-id", id);
      outgoing.setHeader("content-type", "text/event-stream");
      incoming.resume().on("end", () => {
        outgoing.write(`data: ${"a".repeat(UNFINISHED_EVENT_BYTES)}`);
      });
    });
    const [, path, body] = ENTRY_REQUESTS[2]!;
    const client = new AbortController();
    const response = fetch(`${fixture.baseUrl}${path}`, {
      method: "POST",
      headers: { "x-coltsfoot-team": "open" },
      body,
      signal: client.signal,
    });
    const ended = response.catch(() => undefined);
    await waitUntil(() => readHeldBytes().response >= UNFINISHED_EVENT_BYTES);
    client.abort();
    await ended;
    await waitUntilNothingIsHeld();
  });
});
