import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { abortResponse } from "./abort_response.ts";
import { ClientConnections } from "./client_connections.ts";

const HOST = "127.0.0.1";
const PART = "a part";
/** More than the buffers of a connection hold. */
const LARGE_BODY = "b".repeat(12 * 1024 * 1024);
/** Longer than the delay of a reset. */
const READ_AFTER_MS = 200;

const timer = new SystemTimerService();
let server: Server;
let connections: ClientConnections;
let respond: (response: ServerResponse) => void;

beforeEach(async () => {
  server = createServer((_, response) => respond(response));
  connections = new ClientConnections(server, timer);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
});

afterEach(async () => {
  server.close();
  await connections.closeAll();
});

interface Exchange {
  readonly socket: Socket;
  readonly response: ServerResponse;
  /** The body that arrived, and how the connection was closed. */
  readonly result: Promise<readonly [body: string, end: string]>;
}

/** Sends a request; `start` writes the beginning of its response. */
async function exchange(
  start: (response: ServerResponse) => void,
): Promise<Exchange> {
  const { port } = server.address() as AddressInfo;
  const socket = connect({ host: HOST, port, allowHalfOpen: true });
  let text = "";
  const bodyOf = () => text.slice(text.indexOf("\r\n\r\n") + 4);
  const result = new Promise<readonly [string, string]>((resolve) => {
    socket.on("end", () => {
      socket.end();
      resolve([bodyOf(), "end"]);
    });
    socket.on("error", () => resolve([bodyOf(), "reset"]));
  });
  const response = new Promise<ServerResponse>((resolve) => {
    respond = (response) => {
      start(response);
      resolve(response);
    };
  });
  const arrived = new Promise<void>((resolve) => {
    socket.on("data", (chunk) => {
      text += chunk;
      if (text.includes(PART)) resolve();
    });
  });
  socket.write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  await arrived;
  return { socket, response: await response, result };
}

function startChunked(response: ServerResponse): void {
  response.writeHead(200, ["Connection", "close"]);
  response.write(PART);
}

function startUnframed(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, ["Connection", "close"]);
  response.write(PART);
}

describe("ClientConnections.closeAll", () => {
  // Guards against a truncated response whose connection ends like a complete one.
  it("resets the connection of an unframed response", async () => {
    const { result } = await exchange(startUnframed);
    await connections.closeAll();
    expect(await result).toEqual([PART, "reset"]);
  });

  // Guards against a close, or an exit, before the reset of an aborted response.
  it("resets the connection of a response that was just aborted", async () => {
    const { response, result } = await exchange(startUnframed);
    abortResponse(response, timer);
    await connections.closeAll();
    expect(await result).toEqual([PART, "reset"]);
  });

  it("leaves a response in chunks without its last chunk", async () => {
    const { result } = await exchange(startChunked);
    await connections.closeAll();
    expect(await result).toEqual([
      `${PART.length}\r\n${PART}\r\n`,
      "end",
    ]);
  });

  it("delivers a response that was just ended", async () => {
    const { response, result } = await exchange(startUnframed);
    response.end(" and the rest");
    await connections.closeAll();
    expect(await result).toEqual([`${PART} and the rest`, "end"]);
  });
});

describe("bytes that are no request", () => {
  /** Sends `text` while a request waits; returns the status lines received. */
  async function sendAndRead(text: string): Promise<string[]> {
    respond = () => {};
    const { port } = server.address() as AddressInfo;
    const socket = connect({ host: HOST, port });
    socket.write(text);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    await new Promise((resolve) => socket.once("close", resolve));
    return received.match(/HTTP\/1\.1 \d+/g) ?? [];
  }

  it("get an error response", async () => {
    expect(await sendAndRead("no request\r\n\r\n"))
      .toEqual(["HTTP/1.1 400"]);
  });

  it("get an error response in the body of their own request", async () => {
    const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked";
    expect(await sendAndRead(`${head}\r\n\r\nno size\r\n`))
      .toEqual(["HTTP/1.1 400"]);
  });

  // Guards against an error that cuts, or becomes a part of, a response that its
  // client still reads.
  it("leave a response whole that has been ended", async () => {
    respond = (response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, ["Connection", "close"]);
      response.end(LARGE_BODY);
    };
    const { port } = server.address() as AddressInfo;
    const socket = connect({ host: HOST, port });
    socket.pause();
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await sleep(READ_AFTER_MS);
    socket.write("no request\r\n\r\n");
    await sleep(READ_AFTER_MS);
    let received = "";
    socket.on("data", (chunk) => received += chunk).resume();
    await new Promise((resolve) => socket.once("close", resolve));
    expect(received.endsWith(`\r\n\r\n${LARGE_BODY}`)).toBe(true);
  });

  // Guards against an error that the client takes for the response to an
  // earlier request.
  it("get no response before an earlier request has its own", async () => {
    const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    expect(await sendAndRead(`${request}no request\r\n\r\n`)).toEqual([]);
  });
});

describe("ClientConnections.resetTruncated", () => {
  // Guards against an exit of the process that ends truncated responses cleanly.
  it("resets unframed responses at once, and nothing else", async () => {
    const unframed = await exchange(startUnframed);
    const chunked = await exchange(startChunked);
    connections.resetTruncated();
    expect(connections.openCount).toBe(2);
    expect(await unframed.result).toEqual([PART, "reset"]);
    chunked.response.end();
    expect((await chunked.result)[0]).toMatch(/0\r\n\r\n$/);
  });
});
