import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { TimerService } from "@coltsfootford/core";
import { abortResponse } from "../connections/index.ts";
import { ResponseWriter } from "../buffering/index.ts";
import type { RequestMemory } from "./request_memory.ts";

/** The outputs of each connection that its client has not read to the end. */
const unreadOutputs = new WeakMap<Socket, Set<ClientOutput>>();

/**
 * Writes the body of a response as fast as its client reads it, and charges what
 * the client has not read. Its eviction, or a client that has stopped reading,
 * aborts the response.
 */
export class ClientOutput {
  readonly #writer: ResponseWriter;

  constructor(
    outgoing: ServerResponse,
    timer: TimerService,
    memory: RequestMemory,
  ) {
    const held = memory.openOutput();
    const abort = () => {
      this.#writer.stop();
      abortResponse(outgoing, timer);
    };
    held.onEvicted(abort);
    this.#writer = new ResponseWriter(outgoing, held, timer, abort);
    // A response to a pipelined request has no socket of its own yet.
    const { socket } = outgoing.req;
    if (outgoing.destroyed || socket.destroyed) this.#writer.stop();
    else this.#track(outgoing, socket);
  }

  /** Returns false if the client reads too slowly. */
  write(bytes: Buffer): boolean {
    return this.#writer.write(bytes);
  }

  /** Calls `action` once the client has read what was written. */
  onDrain(action: () => void): void {
    this.#writer.onDrain(action);
  }

  /** Ends the response after what was written. */
  end(): void {
    this.#writer.end();
  }

  /** Makes sure that a complete response arrives if the connection ends now. */
  flush(): void {
    this.#writer.flush();
  }

  /** Drops what was not written yet. */
  stop(): void {
    this.#writer.stop();
  }

  #track(outgoing: ServerResponse, socket: Socket): void {
    let outputs = unreadOutputs.get(socket);
    if (!outputs) {
      outputs = new Set();
      unreadOutputs.set(socket, outputs);
      // Runs before the listener that resets connections of cut responses.
      socket.prependListener("end", () => flushOutputs(socket));
      // Responses to pipelined requests do not report that it was closed.
      socket.once("close", () => stopOutputs(socket));
    }
    const tracked = outputs;
    tracked.add(this);
    outgoing.once("close", () => tracked.delete(this));
  }
}

function stopOutputs(socket: Socket): void {
  for (const output of unreadOutputs.get(socket) ?? []) output.stop();
}

/**
 * Gives the complete responses of a connection to it, before it is ended for
 * what its client has sent.
 */
export function flushOutputs(socket: Socket): void {
  for (const output of unreadOutputs.get(socket) ?? []) output.flush();
}
