import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { SystemTimerService } from "@coltsfootford/key-value";
import { z } from "zod";
import { createBlackboard } from "../blackboard/index.ts";
import { Peers } from "../peers/index.ts";
import { answerParts } from "./answer_parts.ts";
import { MAX_ANSWER_BYTES, MAX_PARTS_PER_CALL } from "./config_messages.ts";
import { RpcConfigPeers } from "./rpc_config_peers.ts";

const HOST = "127.0.0.1";
const KEYS = [{ id: "test", secretHex: "ab".repeat(16) }];
const DIGEST = "a".repeat(64);

let asking: Peers;
let answering: Peers;
let heardRevisions: number[];

function wrap(vm: string, peers: Peers): RpcConfigPeers {
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
  asking = new Peers({ vm: "entry-1", timer, keys: KEYS });
  answering = new Peers({ vm: "entry-2", timer, keys: KEYS });
  heardRevisions = [];
  wrap("entry-2", answering).handle({
    onAnnounce: (_from, { revision }) => void heardRevisions.push(revision),
    onPoll: (_from, { revision }) => {
      heardRevisions.push(revision);
      return { revision: 7 };
    },
    onHead: () => ({ head: null }),
    onParts: (request) => answerParts(request, () => "text"),
  });
  const { port } = await answering.listen({ host: HOST, port: 0 });
  asking.setPeer("entry-2", { host: HOST, port });
});

afterEach(async () => {
  await asking.close();
  await answering.close();
});

describe("RpcConfigPeers", () => {
  it("carries every message", async () => {
    const peers = wrap("entry-1", asking);
    peers.announce("entry-2", { revision: 3 });
    const polled = await peers.poll("entry-2", { revision: 4 });
    expect(polled._unsafeUnwrap()).toEqual({ revision: 7 });
    const head = await peers.getHead("entry-2");
    expect(head._unsafeUnwrap()).toEqual({ head: null });
    const parts = await peers.getParts("entry-2", { digests: [DIGEST] });
    expect(parts._unsafeUnwrap()).toEqual({ parts: { [DIGEST]: "text" } });
    expect(heardRevisions).toEqual([3, 4]);
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
  ])("refuses %s with %j and goes on", async (method, params) => {
    const refused = await asking.call("entry-2", method, params, z.unknown());
    expect(refused._unsafeUnwrapErr().kind).toBe("refused");
    const peers = wrap("entry-1", asking);
    expect((await peers.poll("entry-2", { revision: 1 })).isOk()).toBe(true);
    expect(heardRevisions).toEqual([1]);
  });
});

describe("answerParts", () => {
  it("gives what is held, up to its limit and at least one", () => {
    const digests = ["a", "b", "c"].map((digit) => digit.repeat(64));
    const half = "x".repeat(MAX_ANSWER_BYTES / 2 + 1);
    const held = new Map([[digests[1], half], [digests[2], half]]);
    const { parts } = answerParts({ digests }, (digest) => held.get(digest));
    expect(Object.keys(parts)).toEqual([digests[1]]);
    const huge = answerParts({ digests }, () => half.repeat(3));
    expect(Object.keys(huge.parts)).toEqual([digests[0]]);
  });
});
