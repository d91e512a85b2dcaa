import type { Socket } from "node:net";

interface QueuedLine {
  readonly line: string;
  readonly onWritten: (() => void) | undefined;
}

/** Combines the lines queued in one event loop tick into one write. */
export class BatchWriter {
  readonly #socket: Socket;
  #queue: QueuedLine[] = [];

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /**
   * Queues a line for the end of this event loop tick. `onWritten` is called
   * right before the line is written to the socket, and never if the socket
   * closes before that.
   */
  write(line: string, onWritten?: () => void): void {
    this.#queue.push({ line, onWritten });
    if (this.#queue.length === 1) setImmediate(() => this.flush());
  }

  /** Writes the queued lines immediately. */
  flush(): void {
    const queue = this.#queue;
    if (queue.length === 0) return;
    this.#queue = [];
    if (!this.#socket.writable) return;
    for (const entry of queue) entry.onWritten?.();
    this.#socket.write(queue.map((entry) => entry.line).join(""));
  }
}
