import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const HOST = "127.0.0.1";
/** Delayed bytes in one direction above which the link pauses the sender. */
const MAX_DELAYED_BYTES = 1024 * 1024;

/** Delay and faults that a link applies to its traffic. */
export interface LinkState {
  /** Added to the latency of every byte, in each direction. */
  oneWayDelayMs: number;
  /** Refuses new connections and breaks existing ones. */
  isCut: boolean;
  /** Directions in which bytes are dropped silently; none if absent. */
  silent?: "none" | "to-target" | "from-target" | "both";
}

/**
 * Forwards TCP connections to one port with a delay. A cut link destroys its
 * connections and accepts no new ones, like a network partition once the
 * timeouts have expired.
 */
export class TcpLink {
  readonly #targetPort: number;
  readonly #state: LinkState;
  readonly #sockets = new Set<Socket>();
  /** Sockets whose bytes are dropped for good. */
  readonly #silenced = new WeakSet<Socket>();
  readonly #server = createServer((socket) => this.#accept(socket));

  private constructor(targetPort: number, state: LinkState) {
    this.#targetPort = targetPort;
    this.#state = state;
  }

  /** Opens a link; several links may share `state`, which may change later. */
  static async open(targetPort: number, state: LinkState): Promise<TcpLink> {
    const link = new TcpLink(targetPort, state);
    await new Promise<void>((resolve, reject) => {
      link.#server.once("error", reject);
      link.#server.listen(0, HOST, () => resolve());
    });
    return link;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the current connections. */
  breakConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Resets the current connections (TCP RST). */
  resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Drops all further bytes of the current connections; new ones work. */
  silenceConnections(): void {
    for (const socket of this.#sockets) this.#silenced.add(socket);
  }

  async close(): Promise<void> {
    this.breakConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: Socket): void {
    if (this.#state.isCut) {
      client.destroy();
      return;
    }
    const target = connect(this.#targetPort, HOST);
    for (
      const [socket, other] of [[client, target], [target, client]] as const
    ) {
      const schedule = this.#createOrderedScheduler();
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on("error", () => other.destroy());
      socket.on("close", () => {
        this.#sockets.delete(socket);
        schedule(() => other.destroy());
      });
      this.#forward(socket, other, socket === client, schedule);
    }
  }

  #isSilent(isToTarget: boolean): boolean {
    const { silent = "none" } = this.#state;
    return silent === "both" ||
      silent === (isToTarget ? "to-target" : "from-target");
  }

  #forward(
    from: Socket,
    to: Socket,
    isToTarget: boolean,
    schedule: (action: () => void) => void,
  ): void {
    let delayedBytes = 0;
    let isSilent = false;
    from.on("data", (chunk) => {
      // TCP delivers in order: after dropped bytes, no later byte may arrive.
      isSilent ||= this.#silenced.has(from) || this.#isSilent(isToTarget);
      if (isSilent) return;
      delayedBytes += chunk.length;
      if (delayedBytes > MAX_DELAYED_BYTES) from.pause();
      schedule(() => {
        delayedBytes -= chunk.length;
        const canWriteMore = !to.destroyed && to.write(chunk);
        if (canWriteMore && delayedBytes <= MAX_DELAYED_BYTES) from.resume();
        if (!canWriteMore) to.once("drain", () => from.resume());
      });
    });
    from.on("end", () => {
      if (!isSilent && !this.#silenced.has(from)) schedule(() => to.end());
    });
  }

  /** Delays actions and keeps their order when the delay decreases. */
  #createOrderedScheduler(): (action: () => void) => void {
    const pendingActions: (() => void)[] = [];
    let dueAtMs = 0;
    return (action) => {
      const nowMs = performance.now();
      dueAtMs = Math.max(dueAtMs, nowMs + this.#state.oneWayDelayMs);
      pendingActions.push(action);
      // Timers of different durations may fire out of order, so each timer runs
      // the oldest action.
      setTimeout(() => pendingActions.shift()!(), dueAtMs - nowMs);
    };
  }
}
