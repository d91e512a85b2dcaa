import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "@jest/globals";
import {
  type EntryFixture,
  startEntryFixture,
} from "./testing/entry_fixture.ts";
import { ENTRY_REQUESTS } from "./testing/entry_requests.ts";

/** What one target may get sent, the buffers of both sockets included. */
const MAX_READ_BYTES = 32 * 1024 * 1024;
const FILLER_BYTES = 16_384;
const CLIENT_TIMEOUT_MS = 8_000;
const SETTLE_MS = 200;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const head = (status: string, ...lines: string[]) =>
  [`HTTP/1.1 ${status}`, ...lines, "", ""].join("\r\n");
const CHUNKED = "Transfer-Encoding: chunked";
const STREAM = head("200 OK", "Content-Type: text/event-stream", CHUNKED);

/** By part of a response: the bytes before it, and those without end. */
const PARTS: Record<string, readonly [string, string]> = {
  "leading line ends": ["", "\r\n"],
  "status line": ["HTTP/1.1 200 ", "a"],
  "header value": ["HTTP/1.1 200 OK\r\nX-A: ", "a"],
  "headers": ["HTTP/1.1 200 OK\r\n", "X-A: b\r\n"],
  "chunk size": [head("200 OK", CHUNKED), "0"],
  "chunk extension": [`${head("200 OK", CHUNKED)}1;`, "a"],
  "trailer": [`${head("200 OK", CHUNKED)}1\r\na\r\n0\r\n`, "X-A: b\r\n"],
  "chunks": [head("200 OK", CHUNKED), chunk("a".repeat(1_000))],
  "tiny chunks": [head("200 OK", CHUNKED), chunk("a")],
  "body without a length": [head("200 OK"), "a"],
  "body of an error": [head("500 Error", CHUNKED), chunk("a".repeat(1_000))],
  "body of a rejection": [
    head("503 Busy", "x-target-ran: no", CHUNKED),
    chunk("a".repeat(1_000)),
  ],
  "bytes after a body": [`${head("500 Error", "Content-Length: 1")}a`, "a"],
  "event": [STREAM, chunk("data: a\n")],
  "comments": [STREAM, chunk(": a\n\n")],
  "foreign events": [STREAM, chunk("data: {}\n\n")],
};

let fixture: EntryFixture;

afterEach(() => fixture.close());

function sendWithoutEnd(
  socket: Socket,
  [start, repeated]: readonly [string, string],
  onSent: (bytes: number) => void,
): void {
  const filler = Buffer.from(
    repeated.repeat(Math.ceil(FILLER_BYTES / repeated.length)),
  );
  socket.write(start);
  const send = () => {
    if (socket.destroyed) return;
    onSent(filler.length);
    if (socket.write(filler)) setImmediate(send);
    else socket.once("drain", send);
  };
  send();
}

// Guards against a daemon that keeps, until the client closes, bytes which a
// faulty target sends without end, and that runs out of memory.
describe.each(ENTRY_REQUESTS)("%s at a target without end", (_, path, body) => {
  it.each(Object.keys(PARTS))("ends soon: %s", async (part) => {
    let sentBytes = 0;
    let openSockets = 0;
    fixture = await startEntryFixture(({ socket }) => {
      openSockets += 1;
      socket.on("error", () => {});
      socket.on("close", () => openSockets -= 1);
      sendWithoutEnd(socket, PARTS[part]!, (bytes) => sentBytes += bytes);
    });
    const response = await fetch(`${fixture.baseUrl}${path}`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-coltsfoot-team": "open",
      },
      body,
      signal: AbortSignal.timeout(CLIENT_TIMEOUT_MS),
    });
    expect(response.status).toBeGreaterThanOrEqual(500);
    await response.text();
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    expect(openSockets).toBe(0);
    expect(sentBytes).toBeLessThan(MAX_READ_BYTES);
  });
});
