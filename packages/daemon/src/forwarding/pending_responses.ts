import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { ClientResponse } from "./client_response.ts";

/**
 * The responses of each connection that are not delivered yet. Complete ones
 * must arrive where the client ends its side of the connection, or where the
 * connection is ended for malformed bytes that follow.
 */
export class PendingResponses {
  readonly #bySocket = new WeakMap<Duplex, Set<ClientResponse>>();

  track(
    { socket }: IncomingMessage,
    outgoing: ServerResponse,
    response: ClientResponse,
  ): void {
    const responses = this.#bySocket.get(socket) ?? this.#observe(socket);
    responses.add(response);
    outgoing.once("close", () => responses.delete(response));
  }

  /**
   * Not a part of `track`, where the listener would keep the first response of
   * the connection, as all functions of one scope share its variables.
   */
  #observe(socket: Duplex): Set<ClientResponse> {
    const responses = new Set<ClientResponse>();
    this.#bySocket.set(socket, responses);
    // Runs before the listener that resets connections of cut responses.
    socket.prependListener("end", () => this.flush(socket));
    return responses;
  }

  /** Gives what is complete to the connection, before it is ended. */
  flush(socket: Duplex): void {
    for (const response of this.#bySocket.get(socket) ?? []) response.flush();
  }
}
