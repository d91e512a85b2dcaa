import { connect, type Socket } from "node:net";

const HOST = "127.0.0.1";

/** A client that sends bytes and ignores its response, or reads it slowly. */
export interface CrowdClient {
  /** The parts that it sends, one after another. */
  readonly parts: () =>
    | Iterable<string | Buffer>
    | AsyncIterable<string | Buffer>;
  /** Whether it reads what it receives. */
  readonly isReading: boolean;
}

/** Untrusted clients of one daemon, each with a connection that stays open. */
export class Crowd {
  readonly #sockets: Socket[] = [];

  /**
   * Connects clients, and resolves once each has sent all its parts or has been
   * disconnected, or does not get rid of its parts within `maxWaitMs`.
   */
  async gather(
    port: number,
    count: number,
    client: CrowdClient,
    maxWaitMs: number,
  ): Promise<void> {
    const sent = Array.from({ length: count }, () => this.#send(port, client));
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, maxWaitMs);
    });
    await Promise.race([Promise.all(sent), timeout]);
    clearTimeout(timer);
  }

  get openCount(): number {
    return this.#sockets.filter((socket) => !socket.destroyed).length;
  }

  disperse(): void {
    for (const socket of this.#sockets.splice(0)) socket.destroy();
  }

  async #send(port: number, client: CrowdClient): Promise<void> {
    const socket = connect({ host: HOST, port });
    this.#sockets.push(socket);
    socket.on("error", () => undefined);
    const closed = new Promise<void>((resolve) => {
      socket.once("close", () => resolve());
    });
    if (client.isReading) socket.resume();
    for await (const part of client.parts()) {
      if (socket.destroyed) return;
      const written = new Promise<void>((resolve) => {
        socket.write(part, () => resolve());
      });
      await Promise.race([written, closed]);
      if (socket.destroyed) return;
    }
  }
}
