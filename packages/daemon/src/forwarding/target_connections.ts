import { Agent } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Idle time after which a connection is closed where the target tells none. */
const DEFAULT_IDLE_MS = 900;
/** A connection is given up this long before its target would close it. */
const IDLE_MARGIN_MS = 700;
/** Time without a packet after which the kernel asks whether the peer lives. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/**
 * The kept connections to one incarnation of a target. A connection on which
 * bytes come while no answer is due is closed, since they would be taken for
 * the next answer.
 */
export class TargetConnections extends Agent {
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

  /** Notes how long the target keeps an idle connection open. */
  noteIdleTimeout(keepAliveHeader: string | undefined): void {
    const seconds = /timeout=(\d+)/.exec(keepAliveHeader ?? "")?.[1];
    if (seconds === undefined) return;
    const toldMs = Number(seconds) * 1_000;
    this.#idleMs = Math.max(toldMs / 2, toldMs - IDLE_MARGIN_MS);
  }

  /** Closes idle connections, and the others as soon as they are idle. */
  retire(): void {
    this.#isRetired = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  // Called by Node.js when an answer has ended.
  override keepSocketAlive(socket: Duplex): boolean {
    if (this.#isRetired) return false;
    // Declared as void, yet Node.js returns whether to keep the socket.
    const isKept = super.keepSocketAlive(socket) as unknown;
    if (isKept !== true) return false;
    (socket as Socket).setTimeout(this.#idleMs);
    const close = () => socket.destroy();
    this.#closeOnData.set(socket, close);
    socket.on("data", close);
    return true;
  }

  // Called by Node.js before a kept connection takes the next request.
  override reuseSocket(
    socket: Duplex,
    request: Parameters<Agent["reuseSocket"]>[1],
  ): void {
    const close = this.#closeOnData.get(socket);
    if (close) socket.off("data", close);
    (socket as Socket).setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
