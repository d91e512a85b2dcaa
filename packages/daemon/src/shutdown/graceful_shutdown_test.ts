import { Agent, createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { createBlackboard } from "../blackboard/index.ts";
import { ClientConnections } from "../connections/index.ts";
import { RunningRequests } from "../entry/index.ts";
import { GracefulShutdown } from "./graceful_shutdown.ts";

const HOST = "127.0.0.1";
const KEEP_ALIVE_MS = 3000;

interface Setup {
  readonly server: Server;
  readonly port: number;
  readonly shutdown: GracefulShutdown;
  readonly events: string[];
  readonly steps: string[];
  readonly phase: () => string;
  /** Ends the response of the request that hangs. */
  readonly release: () => void;
}

const agents: Agent[] = [];

async function startServer(timeoutMs: number): Promise<Setup> {
  const timer = new SystemTimerService();
  const running = new RunningRequests();
  let release = () => {};
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  server.on("request", (incoming, response) => {
    const done = running.begin(incoming.url ?? "");
    response.once("close", done);
    if (incoming.url === "/") return void response.end("ok");
    if (incoming.url === "/hang-unframed") {
      response.useChunkedEncodingByDefault = false;
    }
    response.write("first ");
    release = () => void response.end("last");
  });
  const connections = new ClientConnections(server, timer);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const blackboard = createBlackboard();
  const events: string[] = [];
  const steps: string[] = [];
  const shutdown = new GracefulShutdown({
    lifecycle: blackboard.lifecycle.claimWriter("test"),
    timer,
    logger: { event: (name) => void events.push(name) },
    running,
    connections,
    readinessGraceMs: 50,
    timeoutMs,
    handOverSteps: [
      { name: "broken", run: () => Promise.reject(new Error("broken")) },
      {
        name: "permits",
        run: () => Promise.resolve(void steps.push("permits")),
      },
    ],
  });
  return {
    server,
    port: (server.address() as AddressInfo).port,
    shutdown,
    events,
    steps,
    phase: () => blackboard.lifecycle.read(),
    release: () => release(),
  };
}

function createAgent(): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  agents.push(agent);
  return agent;
}

function get(
  port: number,
  path: string,
  agent: Agent,
): Promise<{ text: string; connection: string | undefined }> {
  return new Promise((resolve, reject) => {
    const sent = request({ host: HOST, port, path, agent }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on("end", () => {
        resolve({ text, connection: response.headers.connection });
      });
      response.on("error", reject);
    });
    sent.on("error", reject);
    sent.end();
  });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

afterEach(() => {
  for (const agent of agents.splice(0)) agent.destroy();
});

describe("GracefulShutdown", () => {
  it("completes requests in flight and serves keep-alive connections meanwhile", async () => {
    const setup = await startServer(60_000);
    const keepAliveAgent = createAgent();
    await get(setup.port, "/", keepAliveAgent);
    const hanging = get(setup.port, "/hang", createAgent());
    await new Promise((resolve) => setTimeout(resolve, 20));
    const cutRequests = setup.shutdown.run();
    expect(setup.phase()).toBe("draining");
    await waitUntil(() => !setup.server.listening);
    // A client may still send on a keep-alive connection.
    const lateResponse = await get(setup.port, "/", keepAliveAgent);
    expect(lateResponse).toEqual({ text: "ok", connection: "close" });
    await expect(get(setup.port, "/", createAgent())).rejects.toThrow();
    setup.release();
    expect((await hanging).text).toBe("first last");
    expect(await cutRequests).toBe(0);
    expect(setup.steps).toEqual(["permits"]);
    expect(setup.events).toEqual(["daemonStopping", "handOverFailed"]);
  });

  // Guards against a response that the timeout cuts and its client takes for
  // complete.
  it("breaks an unframed response that it cuts at its timeout", async () => {
    const setup = await startServer(100);
    const hanging = get(setup.port, "/hang-unframed", createAgent());
    const rejection = expect(hanging).rejects.toThrow();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(await setup.shutdown.run()).toBe(1);
    await rejection;
  });

  it("logs the requests that it cuts at its timeout", async () => {
    const setup = await startServer(100);
    const hanging = get(setup.port, "/hang", createAgent());
    const rejection = expect(hanging).rejects.toThrow();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(await setup.shutdown.run()).toBe(1);
    await rejection;
    expect(setup.events).toContain("requestsCut");
  });
});
