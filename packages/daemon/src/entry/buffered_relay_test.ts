import { afterEach, describe, expect, it } from "@jest/globals";
import { once } from "node:events";
import { Agent, get, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";

const RESPONSE_TIMEOUT_MS = 2_000;
const FILLER = Buffer.alloc(64 * 1024);

/** Writes a body until the connection is closed. */
function sendEndlessBody(outgoing: ServerResponse): void {
  const send = () => {
    while (!outgoing.destroyed && outgoing.write(FILLER));
    if (!outgoing.destroyed) outgoing.once("drain", send);
  };
  send();
}

describe("BufferedRelay", () => {
  let fixture: EntryFixture;

  afterEach(async () => {
    await fixture.close();
  });

  // Guards against a daemon that buffers a body which never ends.
  it.each([200, 500])(
    "leaves a target that sends a body without end with status %i",
    async (status) => {
      let openResponses = 0;
      fixture = await startEntryFixture((_incoming, outgoing) => {
        openResponses += 1;
        outgoing.on("close", () => openResponses -= 1);
        outgoing.writeHead(status);
        sendEndlessBody(outgoing);
      });
      const startedAtMs = performance.now();
      const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: { "x-coltsfoot-team": "open" },
        body: "a bid",
      });
      expect(performance.now() - startedAtMs).toBeLessThan(RESPONSE_TIMEOUT_MS);
      expect(response.status).toBeGreaterThanOrEqual(500);
      await new Promise((resolve) => setTimeout(resolve, 200));
      expect(openResponses).toBe(0);
    },
  );

  // Guards against a daemon that parses, until the client's deadline, bytes
  // before a head which never comes.
  it.each(["\r\n", "HTTP/1.1 102 Processing\r\n\r\n"])(
    "leaves a target that sends %j without end",
    async (repeated) => {
      const filler = repeated.repeat(1_000);
      let openSockets = 0;
      fixture = await startEntryFixture((incoming) => {
        const { socket } = incoming;
        openSockets += 1;
        socket.on("close", () => openSockets -= 1);
        const send = () => {
          if (socket.destroyed) return;
          if (socket.write(filler)) setImmediate(send);
          else socket.once("drain", send);
        };
        send();
      });
      const startedAtMs = performance.now();
      const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: { "x-coltsfoot-team": "open" },
        body: "a bid",
        signal: AbortSignal.timeout(4 * RESPONSE_TIMEOUT_MS),
      });
      expect(performance.now() - startedAtMs).toBeLessThan(RESPONSE_TIMEOUT_MS);
      expect(response.status).toBeGreaterThanOrEqual(500);
      await new Promise((resolve) => setTimeout(resolve, 200));
      expect(openSockets).toBe(0);
    },
  );

  // Guards against megabytes of interim responses that are parsed for one
  // request, while those of other clients wait.
  it.each([[200, 200], [300, 502]])(
    "after %i interim responses gives status %i",
    async (count, status) => {
      fixture = await startEntryFixture(({ socket, headers }) => {
        const id = `x-request-id: ${headers["x-request-id"]}`;
        const head = `HTTP/1.1 200 OK\r\n${id}\r\ncontent-length: 2\r\n\r\n`;
        const interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(count);
        socket.write(`${interim}${head}ok`);
      });
      const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: { "x-coltsfoot-team": "open" },
        body: "a bid",
      });
      expect(response.status).toBe(status);
    },
  );

  /** Calls a service that sends these bytes and closes its connection. */
  async function callService(
    headerLines: readonly string[],
    body: string,
    method = "POST",
  ): Promise<Response> {
    fixture = await startEntryFixture(({ socket }) => {
      const head = ["HTTP/1.1 200 OK", ...headerLines, "", ""].join("\r\n");
      socket.end(head + body);
    });
    return await fetch(`${fixture.baseUrl}/services/bids/1`, {
      method,
      headers: { "x-coltsfoot-team": "open" },
    });
  }

  // Guards against an outcome that declares complete what the target has not
  // proved, and against a body that ends with the client's connection, which a
  // killed daemon ends as well.
  it.each([
    [[]],
    [["Transfer-Encoding: identity"]],
  ])("proves no more than the target with the headers %j", async (lines) => {
    const response = await callService(lines, "a part");
    expect(await response.text()).toBe("a part");
    expect(response.headers.get("x-coltsfoot-outcome")).toBe("unknown");
    expect(response.headers.get("content-length")).toBe("6");
    expect(response.headers.get("transfer-encoding")).toBeNull();
  });

  it("reports a body with a length as completed", async () => {
    const response = await callService(["Content-Length: 5"], "whole");
    expect(await response.text()).toBe("whole");
    expect(response.headers.get("x-coltsfoot-outcome")).toBe("completed");
    expect(response.headers.get("content-length")).toBe("5");
  });

  // Guards against a connection that is closed after each response to HEAD.
  it("keeps the connection after a response to HEAD", async () => {
    fixture = await startEntryFixture((incoming, outgoing) => {
      const id = String(incoming.headers["x-request-id"]);
      outgoing.setHeader("x-request-id", id);
      outgoing.setHeader("content-length", "5");
      outgoing.end();
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const clientPorts = [];
    for (let request = 0; request < 2; request++) {
      const outgoing = get(`${fixture.baseUrl}/services/bids/1`, {
        agent,
        method: "HEAD",
        headers: { "x-coltsfoot-team": "open" },
      });
      const [response] = await once(outgoing, "response");
      expect(response.statusCode).toBe(200);
      clientPorts.push(outgoing.socket?.localPort);
      response.resume();
      await once(response, "close");
      await sleep(20);
    }
    agent.destroy();
    expect(clientPorts[1]).toBe(clientPorts[0]);
  });

  it("relays the length that a response to HEAD states", async () => {
    const response = await callService(["Content-Length: 5"], "", "HEAD");
    expect(response.headers.get("content-length")).toBe("5");
    expect(response.headers.get("x-coltsfoot-outcome")).toBe("completed");
  });

  // Guards against a truncated body that is replayed as the response of a call.
  it("does not record a body that may be truncated for its key", async () => {
    let calls = 0;
    fixture = await startEntryFixture(({ method, socket }) => {
      if (method === "POST") calls += 1;
      socket.end("HTTP/1.1 200 OK\r\n\r\na part");
    });
    const date = new Date().toISOString().slice(0, 10);
    const send = () =>
      fetch(`${fixture.baseUrl}/services/bids/1`, {
        method: "POST",
        headers: {
          "x-coltsfoot-team": "open",
          "idempotency-key": `${date}/call-1`,
        },
      });
    const first = await send();
    expect(await first.text()).toBe("a part");
    const second = await send();
    expect(second.status).toBe(409);
    expect(await second.text()).toContain("already_completed");
    expect(calls).toBe(1);
  });

  // Guards against "not run" for a call that has run, where a target sends the
  // rejection of an earlier one.
  it.each([
    ["another id", "x-request-id: other\r\n", 502],
    ["its own id", undefined, 503],
  ])("takes a rejection with %s for what it is", async (_, line, status) => {
    fixture = await startEntryFixture(({ method, headers, socket }) => {
      const idLine = line ?? `x-request-id: ${headers["x-request-id"]}\r\n`;
      const head = `HTTP/1.1 429 Busy\r\nx-target-ran: no\r\n${idLine}`;
      if (method === "POST") socket.end(`${head}content-length: 0\r\n\r\n`);
      else socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    });
    const response = await fetch(`${fixture.baseUrl}/services/bids/1`, {
      method: "POST",
      headers: { "x-coltsfoot-team": "open" },
    });
    expect(response.status).toBe(status);
  });

  // Guards against the same for a chat, on a connection that is reused.
  it("takes no rejection without an id for that of a chat", async () => {
    fixture = await startEntryFixture((_incoming, outgoing) => {
      outgoing.writeHead(429, { "x-target-ran": "no" });
      outgoing.end();
    });
    const response = await fetch(`${fixture.baseUrl}/v1/chat/completions`, {
      method: "POST",
      headers: { "x-coltsfoot-team": "open" },
      body: JSON.stringify({
        model: "writer",
        messages: [{ role: "user", content: "a" }],
      }),
    });
    expect(response.status).toBe(502);
  });
});
