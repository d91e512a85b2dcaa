import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { z } from "zod";
import { createBlackboard } from "../blackboard/index.ts";
import { Peers } from "../peers/index.ts";
import { createPartResponse } from "./part_response.ts";
import { MAX_PARTS_PER_CALL, MAX_RESPONSE_BYTES } from "./config_messages.ts";
import { RpcConfigPeers } from "./rpc_config_peers.ts";

const HOST = "127.0.0.1";
const KEYS = [{ id: "test", secretHex: "ab".repeat(16) }];
const DIGEST = "a".repeat(64);

let client: Peers;
let server: Peers;
let receivedRevisions: number[];

function createConfigPeers(vm: string, peers: Peers): RpcConfigPeers {
  return new RpcConfigPeers({
    vm,
    availabilityZone: "zone-a",
    blackboard: createBlackboard(),
    peers,
    seeds: [{ vm: "entry-1", availabilityZone: "zone-a" }],
  });
}

beforeEach(async () => {
  const timer = new SystemTimerService();
  client = new Peers({ vm: "entry-1", timer, keys: KEYS });
  server = new Peers({ vm: "entry-2", timer, keys: KEYS });
  receivedRevisions = [];
  createConfigPeers("entry-2", server).handle({
    onAnnounce: (_from, { revision }) => void receivedRevisions.push(revision),
    onPoll: (_from, { revision }) => {
      receivedRevisions.push(revision);
      return { revision: 7 };
    },
    onHead: () => ({ head: null }),
    onParts: (request) => createPartResponse(request, () => "text"),
  });
  const { port } = await server.listen({ host: HOST, port: 0 });
  client.setPeer("entry-2", { host: HOST, port });
});

afterEach(async () => {
  await client.close();
  await server.close();
});

describe("RpcConfigPeers", () => {
  it("delivers every message", async () => {
    const peers = createConfigPeers("entry-1", client);
    peers.announce("entry-2", { revision: 3 });
    const polled = await peers.poll("entry-2", { revision: 4 });
    expect(polled._unsafeUnwrap()).toEqual({ revision: 7 });
    const head = await peers.getHead("entry-2");
    expect(head._unsafeUnwrap()).toEqual({ head: null });
    const parts = await peers.getParts("entry-2", { digests: [DIGEST] });
    expect(parts._unsafeUnwrap()).toEqual({ parts: { [DIGEST]: "text" } });
    expect(receivedRevisions).toEqual([3, 4]);
  });

  it.each([
    ["cfg.part", { digests: [] }],
    ["cfg.part", { digests: ["../head"] }],
    ["cfg.part", { digests: Array(MAX_PARTS_PER_CALL + 1).fill(DIGEST) }],
    ["cfg.part", null],
    ["cfg.poll", { revision: -1 }],
    ["cfg.poll", { revision: 1e300 }],
    ["cfg.poll", [1]],
    ["cfg.head", { more: true }],
  ])("rejects %s with %j and keeps serving", async (method, params) => {
    const rejected = await client.call("entry-2", method, params, z.unknown());
    expect(rejected._unsafeUnwrapErr().kind).toBe("refused");
    const peers = createConfigPeers("entry-1", client);
    expect((await peers.poll("entry-2", { revision: 1 })).isOk()).toBe(true);
    expect(receivedRevisions).toEqual([1]);
  });
});

describe("createPartResponse", () => {
  it("includes available parts up to the size limit, at least one", () => {
    const digests = ["a", "b", "c"].map((digit) => digit.repeat(64));
    const half = "x".repeat(MAX_RESPONSE_BYTES / 2 + 1);
    const available = new Map([[digests[1], half], [digests[2], half]]);
    const { parts } = createPartResponse(
      { digests },
      (digest) => available.get(digest),
    );
    expect(Object.keys(parts)).toEqual([digests[1]]);
    const huge = createPartResponse({ digests }, () => half.repeat(3));
    expect(Object.keys(huge.parts)).toEqual([digests[0]]);
  });
});
