import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const HOST = "127.0.0.1";
/** Bytes in flight in one direction, after which the sender has to wait. */
const MAX_DELAYED_BYTES = 1024 * 1024;

/** What a link does to the bytes that pass. */
export interface LinkState {
  /** Added to the way of every byte, in each direction. */
  oneWayDelayMs: number;
  /** Refuses and breaks connections. */
  isCut: boolean;
  /** Directions in which bytes vanish without a sign; none where absent. */
  silent?: "none" | "to-target" | "from-target" | "both";
}

/**
 * Forwards TCP connections to one port with a delay. A cut link destroys its
 * connections and accepts none, as a partition does after its timeouts.
 */
export class TcpLink {
  readonly #targetPort: number;
  readonly #state: LinkState;
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((socket) => this.#accept(socket));

  private constructor(targetPort: number, state: LinkState) {
    this.#targetPort = targetPort;
    this.#state = state;
  }

  /** Opens a link; `state` may be shared by several and changed later. */
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

  /** Breaks the connections of the moment. */
  breakConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Resets the connections of the moment. */
  resetConnections(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async close(): Promise<void> {
    this.breakConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #accept(near: Socket): void {
    if (this.#state.isCut) {
      near.destroy();
      return;
    }
    const far = connect(this.#targetPort, HOST);
    for (const [socket, other] of [[near, far], [far, near]] as const) {
      const later = this.#inOrder();
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on("error", () => other.destroy());
      socket.on("close", () => {
        this.#sockets.delete(socket);
        later(() => other.destroy());
      });
      this.#forward(socket, other, socket === near, later);
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
    later: (action: () => void) => void,
  ): void {
    let delayedBytes = 0;
    let isSilent = false;
    from.on("data", (chunk) => {
      // Bytes that were lost never come, so neither may those after them.
      isSilent ||= this.#isSilent(isToTarget);
      if (isSilent) return;
      delayedBytes += chunk.length;
      if (delayedBytes > MAX_DELAYED_BYTES) from.pause();
      later(() => {
        delayedBytes -= chunk.length;
        const hasRoom = !to.destroyed && to.write(chunk);
        if (hasRoom && delayedBytes <= MAX_DELAYED_BYTES) from.resume();
        if (!hasRoom) to.once("drain", () => from.resume());
      });
    });
    from.on("end", () => {
      if (!isSilent) later(() => to.end());
    });
  }

  /** Delays actions so that none overtakes another when the delay falls. */
  #inOrder(): (action: () => void) => void {
    const waiting: (() => void)[] = [];
    let dueAtMs = 0;
    return (action) => {
      const nowMs = performance.now();
      dueAtMs = Math.max(dueAtMs, nowMs + this.#state.oneWayDelayMs);
      waiting.push(action);
      // Timers of different lengths may swap, so each runs the oldest action.
      setTimeout(() => waiting.shift()!(), dueAtMs - nowMs);
    };
  }
}
