import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { HttpClient } from "./http_client.ts";

const HOST = "127.0.0.1";
const SILENCE_TIMEOUT_MS = 200;
const IDLE_CONNECTIONS = 4;

let server: Server;
let client: HttpClient;
const sockets = new Set<Socket>();

beforeEach(async () => {
  server = createServer((_, outgoing) => {
    // Responses overlap, so that each request gets a connection of its own.
    setTimeout(() => outgoing.end("{}"), 20);
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  client = new HttpClient({
    maxConnections: 8,
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 10_000,
  }, new SystemTimerService());
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

const send = () =>
  client.send({
    host: HOST,
    port: (server.address() as AddressInfo).port,
    method: "GET",
    path: "/",
    silenceTimeoutMs: SILENCE_TIMEOUT_MS,
    totalTimeoutMs: 2_000,
  });

describe("HttpClient", () => {
  it("keeps its connections for later requests", async () => {
    for (let request = 0; request < 3; request++) await send();
    expect(sockets.size).toBe(1);
  });

  // Guards against a peer or a store that sends a body without end, which would
  // be kept until the time-out.
  it("leaves a response without end", async () => {
    server.removeAllListeners("request");
    let sentBytes = 0;
    server.on("request", (_, outgoing) => {
      const filler = Buffer.alloc(64 * 1024);
      const write = () => {
        while (!outgoing.destroyed) {
          sentBytes += filler.length;
          if (!outgoing.write(filler)) return outgoing.once("drain", write);
        }
      };
      write();
    });
    await expect(send()).rejects.toThrow("more than 16777216 bytes");
    expect(sentBytes).toBeLessThan(64 * 1024 * 1024);
  });

  // Guards against one time-out after the other, where all idle connections to a
  // server have gone silent and new ones work.
  it("opens a new connection after one has gone silent", async () => {
    await Promise.all(Array.from({ length: IDLE_CONNECTIONS }, send));
    expect(sockets.size).toBe(IDLE_CONNECTIONS);
    for (const socket of sockets) socket.pause();
    await expect(send()).rejects.toThrow("no bytes in time");
    expect((await send()).status).toBe(200);
  });
});
