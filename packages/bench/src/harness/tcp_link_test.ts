import { type AddressInfo, connect, createServer } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { type PlainService, startPlainService } from "@coltsfootford/standins";
import { Agent, request } from "undici";
import { TcpLink } from "./tcp_link.ts";
import { ZoneLinks } from "./zone_links.ts";

const HOST = "127.0.0.1";
const ONE_WAY_DELAY_MS = 50;

describe("ZoneLinks", () => {
  let service: PlainService;
  let links: ZoneLinks;
  let agent: Agent;

  beforeEach(async () => {
    service = await startPlainService({ name: "desk-1", runMs: 0 });
    links = new ZoneLinks(ONE_WAY_DELAY_MS);
    agent = new Agent();
  });

  afterEach(async () => {
    await agent.destroy();
    await links.close();
    await service.close();
  });

  async function call(port: number): Promise<string> {
    const url = `http://127.0.0.1:${port}/echo`;
    const body = "x".repeat(1_000_000);
    const response = await request(url, {
      method: "POST",
      headers: { "x-request-id": "r1" },
      body,
      dispatcher: agent,
    });
    return await response.body.text();
  }

  it("delays both directions and forwards every byte", async () => {
    const port = await links.reach("a", "b", service.port);
    const startedMs = performance.now();
    const delayed = await call(port);
    const elapsedMs = performance.now() - startedMs;
    expect(delayed).toBe(await call(service.port));
    // Timers may fire up to a millisecond early.
    expect(elapsedMs).toBeGreaterThan(2 * ONE_WAY_DELAY_MS - 2);
  });

  it("returns the port inside a zone, and one shared link across", async () => {
    expect(await links.reach("a", "a", service.port)).toBe(service.port);
    const ports = await Promise.all(
      [1, 2].map(() => links.reach("a", "b", service.port)),
    );
    expect(ports[0]).toBe(ports[1]);
  });

  it("partitions a zone in both directions and heals it", async () => {
    const outbound = await links.reach("a", "b", service.port);
    const inbound = await links.reach("b", "a", service.port);
    const unaffected = await links.reach("c", "b", service.port);
    await links.cutZone("a", { platform: false });
    await expect(call(outbound)).rejects.toThrow();
    await expect(call(inbound)).rejects.toThrow();
    expect(await call(unaffected)).toContain("desk-1");
    await links.healZone("a");
    expect(await call(outbound)).toContain("desk-1");
  });
});

describe("TcpLink", () => {
  it("keeps the order of bytes when its delay decreases", async () => {
    const server = createServer((socket) => {
      socket.write("first ");
      setTimeout(() => {
        state.oneWayDelayMs = 0;
        socket.end("second");
      }, 30);
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const state = { oneWayDelayMs: 100, isCut: false };
    const { port } = server.address() as AddressInfo;
    const link = await TcpLink.open(port, state);
    const text = await new Promise<string>((resolve, reject) => {
      const chunks: Buffer[] = [];
      const socket = connect(link.port, HOST);
      socket.on("data", (chunk) => chunks.push(chunk));
      socket.on("error", reject);
      socket.on("end", () => resolve(Buffer.concat(chunks).toString()));
    });
    expect(text).toBe("first second");
    await link.close();
    server.close();
  });
});
