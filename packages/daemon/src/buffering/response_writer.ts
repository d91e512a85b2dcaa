import type { ServerResponse } from "node:http";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import type { HeldBytes } from "./held_bytes.ts";
import { PIECE_OVERHEAD_BYTES } from "./piece_buffer.ts";

/**
 * Longest time in which a client may take nothing of what is ready for it. It is
 * above the time-outs of clients, so that it ends only what nobody waits for.
 */
export const MAX_UNREAD_MS = 30_000;

/**
 * Writes the body of a response as fast as its client reads it. What the client
 * has not read is charged, and given to the connection piece by piece: the
 * memory of a piece is freed when it was read, and not with the last one.
 */
export class ResponseWriter {
  readonly #outgoing: ServerResponse;
  readonly #held: HeldBytes;
  readonly #timer: TimerService;
  readonly #onStalled: () => void;
  readonly #queue: Buffer[] = [];
  #drainActions: (() => void)[] = [];
  #cancelTimer: CancelTimer = () => {};
  /** Writes that the connection has not taken. */
  #openWrites = 0;
  #isEnding = false;
  #isStopped = false;

  constructor(
    outgoing: ServerResponse,
    held: HeldBytes,
    timer: TimerService,
    onStalled: () => void,
  ) {
    this.#outgoing = outgoing;
    this.#held = held;
    this.#timer = timer;
    this.#onStalled = onStalled;
    outgoing.on("drain", () => this.#pump());
    outgoing.on("close", () => this.stop());
  }

  /** Returns false if the client reads too slowly. */
  write(bytes: Buffer): boolean {
    if (this.#isStopped) return true;
    this.#queue.push(bytes);
    this.#held.charge(bytes.length + PIECE_OVERHEAD_BYTES);
    this.#pump();
    return this.#isStopped || !this.#isClogged;
  }

  /** Calls `action` once the client has read what was written. */
  onDrain(action: () => void): void {
    this.#drainActions.push(action);
  }

  /** Ends the response after what was written. */
  end(): void {
    if (this.#isStopped) return;
    this.#isEnding = true;
    this.#pump();
  }

  /**
   * Gives all to the connection if the response has been ended, so that it
   * arrives even if the connection is ended now.
   */
  flush(): void {
    if (!this.#isEnding || this.#isStopped) return;
    for (const bytes of this.#queue.splice(0)) this.#send(bytes);
    this.#finish();
  }

  /** Drops what was not written yet. */
  stop(): void {
    this.#isStopped = true;
    this.#queue.length = 0;
    this.#drainActions = [];
    this.#cancelTimer();
    this.#held.release();
  }

  get #isClogged(): boolean {
    return this.#queue.length > 0 || this.#outgoing.writableNeedDrain;
  }

  #pump(): void {
    while (this.#queue.length > 0 && !this.#outgoing.writableNeedDrain) {
      this.#send(this.#queue.shift()!);
    }
    if (this.#isEnding && this.#queue.length === 0) return this.#finish();
    if (this.#isClogged) return;
    for (const action of this.#drainActions.splice(0)) action();
  }

  #send(bytes: Buffer): void {
    this.#openWrites += 1;
    this.#outgoing.write(bytes, () => {
      this.#openWrites -= 1;
      this.#held.discharge(bytes.length + PIECE_OVERHEAD_BYTES);
      this.#restartTimer();
    });
    this.#restartTimer();
  }

  #finish(): void {
    if (!this.#outgoing.writableEnded) this.#outgoing.end();
  }

  /** Bounds the time in which the client must read the next part. */
  #restartTimer(): void {
    this.#cancelTimer();
    if (!this.#held.isLimited || this.#isStopped) return;
    if (this.#openWrites === 0) return;
    this.#cancelTimer = this.#timer.after(MAX_UNREAD_MS, this.#onStalled);
  }
}
