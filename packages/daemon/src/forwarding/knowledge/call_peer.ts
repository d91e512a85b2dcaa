import { JSONRPCClient } from "json-rpc-2.0";
import { SystemTimerService } from "@coltsfootford/key-value";
import { HttpClient } from "../../http_client/index.ts";
import type { PeerDaemon } from "../forwarding_blackboard.ts";

/** The path of a daemon's RPC endpoint for its peers. */
export const PEER_RPC_PATH = "/rpc";

/** A peer in another zone responds within a few ms, a crashed one never. */
const CALL_TIMEOUT_MS = 400;

const httpClient = new HttpClient({
  maxConnections: 32,
  connectTimeoutMs: CALL_TIMEOUT_MS,
  idleTimeoutMs: 4_000,
}, new SystemTimerService());

/** Calls a method of another daemon; the promise may reject. */
export type CallPeer = (
  peer: PeerDaemon,
  method: string,
  params: object,
  timeoutMs?: number,
) => PromiseLike<unknown>;

/** Calls a method of another daemon; the promise rejects after a timeout. */
export function callPeer(
  { host, port }: PeerDaemon,
  method: string,
  params: object,
  timeoutMs = CALL_TIMEOUT_MS,
): PromiseLike<unknown> {
  const client = new JSONRPCClient(async (call) => {
    const { text } = await httpClient.send({
      host,
      port,
      method: "POST",
      path: PEER_RPC_PATH,
      body: call,
      silenceTimeoutMs: timeoutMs,
      totalTimeoutMs: timeoutMs,
    });
    client.receive(JSON.parse(text) as never);
  });
  return client.request(method, params);
}
