import type { Socket } from "node:net";

/** Messages and bytes of one method in one direction. */
export interface MethodTraffic {
  messages: number;
  /** Encoded lines with their newlines. */
  sizeBytes: number;
}

/** Bytes at the sockets and, by method, of the encoded messages. */
export interface TrafficSnapshot {
  readonly receivedBytes: number;
  readonly sentBytes: number;
  readonly receivedByMethod: Readonly<Record<string, MethodTraffic>>;
  readonly sentByMethod: Readonly<Record<string, MethodTraffic>>;
}

/** Answers are counted under this name, because they carry no method. */
export const ANSWER_METHOD = "(answer)";

/** Counts what the peer connections of this process carry. */
export class TrafficCounter {
  readonly #open = new Set<Socket>();
  readonly #received = new Map<string, MethodTraffic>();
  readonly #sent = new Map<string, MethodTraffic>();
  #closedReceivedBytes = 0;
  #closedSentBytes = 0;

  /** Counts a socket from now until it closes. */
  track(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      if (!this.#open.delete(socket)) return;
      this.#closedReceivedBytes += socket.bytesRead;
      this.#closedSentBytes += socket.bytesWritten;
    });
  }

  /** Counts one received message of `sizeBytes`. */
  countReceived(method: string, sizeBytes: number): void {
    count(this.#received, method, sizeBytes);
  }

  /** Counts one message of `sizeBytes` that was handed to a socket. */
  countSent(method: string, sizeBytes: number): void {
    count(this.#sent, method, sizeBytes);
  }

  /** The totals since the start of the process. */
  snapshot(): TrafficSnapshot {
    let receivedBytes = this.#closedReceivedBytes;
    let sentBytes = this.#closedSentBytes;
    for (const socket of this.#open) {
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
