import type { Socket } from "node:net";

interface QueuedLine {
  readonly line: string;
  readonly onWritten: (() => void) | undefined;
}

/** Joins the lines that one loop turn produces into one write. */
export class BatchWriter {
  readonly #socket: Socket;
  #queue: QueuedLine[] = [];

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /**
   * Queues a line for the end of this loop turn. `onWritten` is called right
   * before the socket gets the line, and never if it closes before.
   */
  write(line: string, onWritten?: () => void): void {
    this.#queue.push({ line, onWritten });
    if (this.#queue.length === 1) setImmediate(() => this.flush());
  }

  /** Writes what is queued. */
  flush(): void {
    const queue = this.#queue;
    if (queue.length === 0) return;
    this.#queue = [];
    if (!this.#socket.writable) return;
    for (const entry of queue) entry.onWritten?.();
    this.#socket.write(queue.map((entry) => entry.line).join(""));
  }
}
