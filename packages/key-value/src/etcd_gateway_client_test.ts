import { afterEach, describe, expect, it } from "@jest/globals";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { EtcdGatewayClient } from "./etcd_gateway_client.ts";
import { isCertainlyNotApplied } from "./key_value_error.ts";
import type { WatchBatch } from "./key_value_types.ts";
import { SystemTimerService } from "./system_timer_service.ts";

type Handler = (
  path: string,
  body: Record<string, unknown>,
  response: ServerResponse,
  request: IncomingMessage,
) => void;

const servers: Server[] = [];
const clients: EtcdGatewayClient[] = [];

async function serve(handler: Handler): Promise<string> {
  const server = createServer((request, response) => {
    let text = "";
    request.on("data", (chunk) => text += String(chunk));
    request.on(
      "end",
      () => handler(request.url ?? "", JSON.parse(text), response, request),
    );
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function connect(endpoints: string[], timeoutMs = 5_000): EtcdGatewayClient {
  const client = new EtcdGatewayClient({
    endpoints,
    timeoutMs,
    timer: new SystemTimerService(),
    random: () => 0.5,
  });
  clients.push(client);
  return client;
}

const base64 = (text: string) => Buffer.from(text).toString("base64");

async function unusedEndpoint(): Promise<string> {
  const endpoint = await serve(() => {});
  const server = servers.pop();
  await new Promise((resolve) => server?.close(resolve));
  return endpoint;
}

afterEach(async () => {
  for (const client of clients.splice(0)) await client.close();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

describe("EtcdGatewayClient", () => {
  it("encodes a create and decodes the entry that already exists", async () => {
    const bodies: unknown[] = [];
    const endpoint = await serve((_path, body, response) => {
      bodies.push(body);
      response.end(JSON.stringify({
        header: { revision: "9" },
        responses: [{
          response_range: {
            kvs: [{
              key: base64("k"),
              value: base64("other"),
              create_revision: "7",
              mod_revision: "8",
              version: "2",
            }],
            count: "1",
          },
        }],
      }));
    });
    const client = connect([endpoint]);
    const swap = (await client.create("k", "mine"))._unsafeUnwrap();
    expect(swap).toMatchObject({ swapped: false, revision: 9 });
    expect(swap.current).toMatchObject({ value: "other", modRevision: 8 });
    expect(bodies).toEqual([{
      compare: [{
        target: "CREATE",
        key: base64("k"),
        result: "EQUAL",
        create_revision: "0",
      }],
      success: [{ request_put: { key: base64("k"), value: base64("mine") } }],
      failure: [{ request_range: { key: base64("k") } }],
    }]);
    expect(client.calls.writes).toBe(1);
  });

  it("reads a prefix as the range up to its successor", async () => {
    let receivedBody: Record<string, unknown> = {};
    const endpoint = await serve((_path, body, response) => {
      receivedBody = body;
      response.end(JSON.stringify({ header: { revision: "3" }, more: true }));
    });
    const result = await connect([endpoint]).range({
      prefix: "a/",
      limitEntries: 5,
    });
    expect(result._unsafeUnwrap()).toEqual({
      entries: [],
      hasMore: true,
      revision: { era: 0, revision: 3 },
    });
    expect(receivedBody).toEqual({
      key: base64("a/"),
      range_end: base64("a0"),
      limit: "5",
    });
  });

  it("classifies a refused connection as not applied and uses the next endpoint", async () => {
    const down = await unusedEndpoint();
    const failed = (await connect([down]).put("k", "v"))._unsafeUnwrapErr();
    expect(failed.kind).toBe("unreachable");
    expect(isCertainlyNotApplied(failed)).toBe(true);
    const endpoint = await serve((_path, _body, response) =>
      response.end(JSON.stringify({
        header: { revision: "4" },
        succeeded: true,
      }))
    );
    const result = await connect([down, endpoint]).put("k", "v");
    expect(result._unsafeUnwrap().revision).toBe(4);
  });

  it("never retries a write that may have been applied", async () => {
    let calls = 0;
    const endpoint = await serve((_path, _body, _response, request) => {
      calls += 1;
      request.socket.destroy();
    });
    const client = connect([endpoint, endpoint]);
    const failed = (await client.put("k", "v"))._unsafeUnwrapErr();
    expect(failed.kind).toBe("answer-lost");
    expect(isCertainlyNotApplied(failed)).toBe(false);
    expect(calls).toBe(1);
  });

  it.each([
    ["no response in time", () => {}, "answer-lost"],
    ["HTTP 503", (r: ServerResponse) => r.writeHead(503).end(), "answer-lost"],
    ["HTTP 429", (r: ServerResponse) => r.writeHead(429).end(), "rejected"],
    ["malformed", (r: ServerResponse) => r.end("{nonsense"), "answer-lost"],
  ])("classifies %s", async (_name, respond, kind) => {
    const endpoint = await serve((_path, _body, response) => respond(response));
    const client = connect([endpoint], 200);
    const failed = (await client.put("k", "v"))._unsafeUnwrapErr();
    expect(failed.kind).toBe(kind);
  });

  it("continues a watch after a lost connection and a compaction", async () => {
    const starts: unknown[] = [];
    const event = (value: string, revision: number) => ({
      type: "PUT",
      kv: { key: base64("k"), value: base64(value), mod_revision: revision },
    });
    const write = (response: ServerResponse, result: object) =>
      response.write(`${JSON.stringify({ result })}\n`);
    const endpoint = await serve((path, body, response) => {
      if (path === "/v3/kv/range") {
        response.end(JSON.stringify({ header: { revision: "20" } }));
        return;
      }
      const create = body["create_request"] as Record<string, unknown>;
      starts.push(create["start_revision"]);
      if (starts.length === 1) {
        write(response, { header: { revision: "5" }, created: true });
        write(response, {
          header: { revision: "6" },
          events: [event("a", 6)],
        });
        response.end();
      } else if (starts.length === 2) {
        write(response, { canceled: true, compact_revision: "15" });
      } else write(response, { header: { revision: "20" }, created: true });
    });
    const batches: WatchBatch[] = [];
    const client = connect([endpoint]);
    await new Promise<void>((resolve) => {
      const watch = client.watch({
        selection: { key: "k" },
        startRevision: 5,
        onBatch: (batch) => {
          batches.push(batch);
          if (batch.kind !== "snapshot") return;
          watch.close();
          resolve();
        },
      });
    });
    expect(starts.slice(0, 2)).toEqual(["5", "7"]);
    expect(batches.map((batch) => batch.kind)).toEqual(["events", "snapshot"]);
    expect(batches[1]).toMatchObject({
      revision: { era: 0, revision: 20 },
      entries: [],
    });
  });
});
