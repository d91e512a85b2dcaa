import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { ClientConnections } from "./client_connections.ts";

const HOST = "127.0.0.1";
const MAX_CONNECTIONS = 3;
const GET = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
const HEAD_OF_POST = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n" +
  "\r\n";

let server: Server;
let connections: ClientConnections;
let responses: ServerResponse[];
let limitClosedCount: number;

beforeEach(async () => {
  responses = [];
  limitClosedCount = 0;
  server = createServer((_, response) => void responses.push(response));
  connections = new ClientConnections(server, new SystemTimerService(), {
    maxConnections: MAX_CONNECTIONS,
    onLimitClosed: () => limitClosedCount += 1,
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
});

afterEach(async () => {
  server.close();
  await connections.closeAll();
});

/** A client connection, and its end. */
interface Client {
  readonly socket: Socket;
  readonly closed: Promise<void>;
}

/** Connects, and sends `text`. */
async function open(text: string): Promise<Client> {
  const { port } = server.address() as AddressInfo;
  const accepted = new Promise((resolve) => server.once("connection", resolve));
  const socket = connect({ host: HOST, port });
  socket.on("error", () => {}).resume();
  const closed = new Promise<void>((resolve) => {
    socket.once("close", () => resolve());
  });
  socket.write(text);
  await accepted;
  return { socket, closed };
}

/** Connects, and sends a request head; resolves once the server has it. */
async function request(text: string): Promise<Client> {
  const arrived = new Promise((resolve) => server.once("request", resolve));
  const client = await open(text);
  await arrived;
  return client;
}

/** Responds to the latest request, and resolves once it is delivered. */
function respond(): Promise<void> {
  const response = responses.at(-1)!;
  return new Promise((resolve) => {
    response.once("close", () => resolve());
    response.end("done");
  });
}

describe("ClientConnections with a limit", () => {
  // Guards against a crowd of open connections that uses up the descriptors.
  it("closes an idle connection first, then a stalled request", async () => {
    await request(GET);
    const stalled = await request(HEAD_OF_POST);
    const idle = await request(GET);
    await respond();
    const fourth = await request(GET);
    await idle.closed;
    const fifth = await request(GET);
    await stalled.closed;
    expect(connections.openCount).toBe(MAX_CONNECTIONS);
    expect(limitClosedCount).toBe(2);
    expect(fourth.socket.destroyed || fifth.socket.destroyed).toBe(false);
  });

  // Guards against the cut of a request that a target may be executing.
  it("closes the new connection if all others serve a request", async () => {
    const serving = [await request(GET), await request(GET)];
    serving.push(await request(GET));
    const refused = await open("");
    await refused.closed;
    expect(serving.some(({ socket }) => socket.destroyed)).toBe(false);
    expect(connections.openCount).toBe(MAX_CONNECTIONS);
  });
});
