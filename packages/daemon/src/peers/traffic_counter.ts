import type { Socket } from "node:net";

/** Messages and bytes of one method in one direction. */
export interface MethodTraffic {
  messages: number;
  /** Size of the encoded lines, including their newlines. */
  sizeBytes: number;
}

/** Bytes on the sockets, and messages and encoded bytes by method. */
export interface TrafficSnapshot {
  readonly receivedBytes: number;
  readonly sentBytes: number;
  readonly receivedByMethod: Readonly<Record<string, MethodTraffic>>;
  readonly sentByMethod: Readonly<Record<string, MethodTraffic>>;
}

/** Responses carry no method, so they are counted under this name. */
export const RESPONSE_METHOD = "(answer)";

/** Counts the bytes and messages of this process's connections. */
export class TrafficCounter {
  readonly #openSockets = new Set<Socket>();
  readonly #received = new Map<string, MethodTraffic>();
  readonly #sent = new Map<string, MethodTraffic>();
  #closedReceivedBytes = 0;
  #closedSentBytes = 0;

  /** Counts the bytes of a socket until it closes. */
  track(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once("close", () => {
      if (!this.#openSockets.delete(socket)) return;
      this.#closedReceivedBytes += socket.bytesRead;
      this.#closedSentBytes += socket.bytesWritten;
    });
  }

  /** Counts one received message of `sizeBytes`. */
  countReceived(method: string, sizeBytes: number): void {
    count(this.#received, method, sizeBytes);
  }

  /** Counts one message of `sizeBytes` that was written to a socket. */
  countSent(method: string, sizeBytes: number): void {
    count(this.#sent, method, sizeBytes);
  }

  /** Totals since the start of the process. */
  snapshot(): TrafficSnapshot {
    let receivedBytes = this.#closedReceivedBytes;
    let sentBytes = this.#closedSentBytes;
    for (const socket of this.#openSockets) {
      receivedBytes += socket.bytesRead;
      sentBytes += socket.bytesWritten;
    }
    return {
      receivedBytes,
      sentBytes,
      receivedByMethod: Object.fromEntries(this.#received),
      sentByMethod: Object.fromEntries(this.#sent),
    };
  }
}

function count(
  traffic: Map<string, MethodTraffic>,
  method: string,
  sizeBytes: number,
): void {
  const entry = traffic.get(method) ?? { messages: 0, sizeBytes: 0 };
  entry.messages += 1;
  entry.sizeBytes += sizeBytes;
  traffic.set(method, entry);
}
