import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { CheckedAgent } from "../connections/index.ts";

/** Idle time after which a connection is closed if the target reports none. */
const DEFAULT_IDLE_MS = 900;
/** A connection is closed this long before its target would close it. */
const IDLE_MARGIN_MS = 700;
/** Longest idle time that is kept to; timers accept no arbitrary number. */
const MAX_IDLE_MS = 60_000;
/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/**
 * The persistent connections to one incarnation of a target. An idle
 * connection that receives bytes is closed, since they would be parsed as the
 * next response.
 */
export class TargetConnections extends CheckedAgent {
  #idleMs = DEFAULT_IDLE_MS;
  #isRetired = false;
  readonly #closeOnData = new WeakMap<Duplex, () => void>();

  constructor() {
    super({
      keepAlive: true,
      keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
      scheduling: "lifo",
    });
  }

  /** Derives the idle timeout from the target's `Keep-Alive` header. */
  recordIdleTimeout(keepAliveHeader: string | undefined): void {
    const seconds = /timeout=(\d+)/.exec(keepAliveHeader ?? "")?.[1];
    if (seconds === undefined) return;
    const reportedMs = Math.min(Number(seconds) * 1_000, MAX_IDLE_MS);
    this.#idleMs = Math.max(reportedMs / 2, reportedMs - IDLE_MARGIN_MS);
  }

  /** Closes idle connections now, and the others once they are idle. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  // Called by Node.js when a response has ended.
  override keepSocketAlive(socket: Duplex): boolean {
    if (this.#isRetired) return false;
    // Declared as void, but Node.js returns whether to keep the socket.
    const isKeptAlive = super.keepSocketAlive(socket) as unknown;
    if (isKeptAlive !== true) return false;
    (socket as Socket).setTimeout(this.#idleMs);
    const close = () => socket.destroy();
    this.#closeOnData.set(socket, close);
    socket.on("data", close);
    return true;
  }

  // Called by Node.js before an idle connection sends the next request.
  override reuseSocket(
    socket: Duplex,
    request: Parameters<CheckedAgent["reuseSocket"]>[1],
  ): void {
    const close = this.#closeOnData.get(socket);
    if (close) socket.off("data", close);
    (socket as Socket).setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
