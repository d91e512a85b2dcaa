import { afterEach, describe, expect, it } from "@jest/globals";
import { type CancelTimer, TimerService } from "@coltsfootford/core";
import { connect } from "node:net";
import { z } from "zod";
import { MAX_HANDSHAKE_LINE_BYTES } from "./limits.ts";
import type { PeerKey } from "./keyring.ts";
import type { PeerEvent } from "./peer_event.ts";
import { Peers } from "./peers.ts";

const HOST = "127.0.0.1";
const OLD_KEY = { id: "old", secretHex: "ab".repeat(16) };
const NEW_KEY = { id: "new", secretHex: "cd".repeat(16) };

class RealTimer extends TimerService {
  override nowMs = () => performance.now();
  override wallClockMs = () => Date.now();
  override every(periodMs: number, action: () => void): CancelTimer {
    const handle = setInterval(action, periodMs);
    return () => clearInterval(handle);
  }
  override after(delayMs: number, action: () => void): CancelTimer {
    const handle = setTimeout(action, delayMs);
    return () => clearTimeout(handle);
  }
}

interface Node {
  readonly peers: Peers;
  readonly events: PeerEvent[];
  readonly port: number;
}

const started: Peers[] = [];

async function startNode(vm: string, keys: PeerKey[]): Promise<Node> {
  const peers = new Peers({ vm, timer: new RealTimer(), keys });
  const events: PeerEvent[] = [];
  peers.onEvent((event) => events.push(event));
  started.push(peers);
  const { port } = await peers.listen({ host: HOST, port: 0 });
  return { peers, events, port };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

async function startPair(): Promise<[Node, Node]> {
  const left = await startNode("left", [OLD_KEY]);
  const right = await startNode("right", [OLD_KEY]);
  left.peers.setPeer("right", { host: HOST, port: right.port });
  return [left, right];
}

afterEach(async () => {
  for (const peers of started.splice(0)) await peers.close();
});

describe("Peers", () => {
  it("delivers calls and notifications and counts them at both ends", async () => {
    const [left, right] = await startPair();
    const received: unknown[] = [];
    right.peers.handle("e", z.string(), (text, from) => `${from.vm}:${text}`);
    right.peers.handle("n", z.number(), (value) => void received.push(value));
    for (let i = 0; i < 100; i++) left.peers.notify("right", "n", i);
    const response = await left.peers.call("right", "e", "x", z.string());
    expect(response._unsafeUnwrap()).toBe("left:x");
    expect(received).toEqual(Array.from({ length: 100 }, (_, i) => i));
    const sent = left.peers.traffic();
    expect(sent.sentBytes).toBe(right.peers.traffic().receivedBytes);
    expect(sent.sentByMethod["n"]).toEqual(
      right.peers.traffic().receivedByMethod["n"],
    );
    expect(left.peers.connectedNames()).toEqual(["right"]);
  });

  it("rejects invalid parameters, unknown methods and invalid responses", async () => {
    const [left, right] = await startPair();
    right.peers.handle("e", z.string(), () => 1);
    const calls = [
      left.peers.call("right", "e", 5, z.number()),
      left.peers.call("right", "missing", 5, z.number()),
      left.peers.call("right", "e", "x", z.string()),
    ];
    for (const response of await Promise.all(calls)) {
      expect(response._unsafeUnwrapErr().kind).toBe("refused");
    }
  });

  it("distinguishes not-sent from maybe-sent", async () => {
    const [left, right] = await startPair();
    const stopped = await startNode("stopped", [OLD_KEY]);
    left.peers.setPeer("stopped", { host: HOST, port: stopped.port });
    await stopped.peers.close();
    const unreachable = await left.peers.call("stopped", "e", 1, z.any());
    expect(unreachable._unsafeUnwrapErr().kind).toBe("not-sent");
    const unknown = await left.peers.call("nobody", "e", 1, z.any());
    expect(unknown._unsafeUnwrapErr().kind).toBe("not-sent");

    right.peers.handle("hang", z.any(), () => new Promise(() => {}));
    const interrupted = left.peers.call("right", "hang", 1, z.any());
    await until(() =>
      right.peers.traffic().receivedByMethod["hang"] !== undefined
    );
    await right.peers.close();
    expect((await interrupted)._unsafeUnwrapErr().kind).toBe("maybe-sent");
  });

  it("drops a connection that received nothing during a timed-out call", async () => {
    const [left, right] = await startPair();
    right.peers.handle("hang", z.any(), () => new Promise(() => {}));
    right.peers.handle("e", z.any(), () => "back");
    const options = { timeoutMs: 50 };
    const interrupted = await left.peers.call(
      "right",
      "hang",
      1,
      z.any(),
      options,
    );
    expect(interrupted._unsafeUnwrapErr().kind).toBe("maybe-sent");
    await until(() =>
      left.events.some((e) => e.detail.includes("unresponsive"))
    );
    const secondCall = await left.peers.call("right", "e", 1, z.string());
    expect(secondCall._unsafeUnwrap()).toBe("back");
  });

  it("rotates keys without a restart and rejects a wrong key", async () => {
    const [left, right] = await startPair();
    right.peers.handle("e", z.any(), () => true);
    right.peers.replaceKeys([NEW_KEY, OLD_KEY]);
    expect((await left.peers.call("right", "e", 1, z.any())).isOk()).toBe(true);
    left.peers.replaceKeys([NEW_KEY, OLD_KEY]);
    right.peers.replaceKeys([NEW_KEY]);
    left.peers.reset("right", "rotation");
    await until(() => left.peers.connectedNames().length === 0);
    expect((await left.peers.call("right", "e", 1, z.any())).isOk()).toBe(true);

    const forged = { id: NEW_KEY.id, secretHex: "ee".repeat(16) };
    const intruder = await startNode("intruder", [forged]);
    intruder.peers.setPeer("right", { host: HOST, port: right.port });
    const call = await intruder.peers.call("right", "e", 1, z.any());
    expect(call._unsafeUnwrapErr().kind).toBe("not-sent");
    const events = JSON.stringify([...right.events, ...intruder.events]);
    expect(events).toContain("authentication-failed");
    expect(events).not.toContain(forged.secretHex);
  });

  it("rejects a peer whose name differs from the expected name", async () => {
    const [left, right] = await startPair();
    left.peers.setPeer("other", { host: HOST, port: right.port });
    const call = await left.peers.call("other", "e", 1, z.any());
    expect(call._unsafeUnwrapErr().kind).toBe("not-sent");
  });

  it.each([
    ["malformed-line", "not json\n"],
    ["malformed-line", '{"jsonrpc":"2.0","method":7,"params":[]}\n'],
    ["malformed-line", '{"jsonrpc":"2.0","method":"hi","params":[1]}\n'],
    ["oversized-line", "x".repeat(MAX_HANDSHAKE_LINE_BYTES + 1)],
    ["authentication-failed", '{"jsonrpc":"2.0","method":"e","params":1}\n'],
    [
      "authentication-failed",
      '{"jsonrpc":"2.0","method":"me","params":["x"]}\n',
    ],
  ])("drops an unauthenticated connection after %s", async (kind, text) => {
    const node = await startNode("node", [OLD_KEY]);
    let handledCount = 0;
    node.peers.handle("e", z.any(), () => void handledCount++);
    const socket = connect(node.port, HOST);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => {});
    socket.resume();
    socket.write(text);
    await closed;
    expect(node.events.map((event) => event.kind)).toContain(kind);
    expect(handledCount).toBe(0);
  });
});
