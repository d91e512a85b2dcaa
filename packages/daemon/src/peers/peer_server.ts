import { randomBytes } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import type { TimerService } from "@coltsfootford/core";
import type { PeerAddress } from "./peer_connection.ts";
import type { Keyring } from "./keyring.ts";
import type { PeerEventListener } from "./peer_event.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import { ServerConnection } from "./server_connection.ts";
import type { TrafficCounter } from "./traffic_counter.ts";

/** What a `PeerServer` is built from. */
export interface PeerServerParts {
  readonly vm: string;
  readonly timer: TimerService;
  readonly keyring: Keyring;
  readonly handlers: PeerHandlers;
  readonly traffic: TrafficCounter;
  readonly onEvent: PeerEventListener;
}

/** Accepts the connections of other daemons and answers their calls. */
export class PeerServer {
  readonly #parts: PeerServerParts;
  readonly #server: Server;
  readonly #connections = new Set<ServerConnection>();

  constructor(parts: PeerServerParts) {
    this.#parts = parts;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to listen and gives the address that was bound. */
  listen(address: PeerAddress): Promise<PeerAddress> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, () => {
        this.#server.off("error", reject);
        const bound = this.#server.address();
        const port = typeof bound === "object" && bound ? bound.port : 0;
        resolve({ host: address.host, port });
      });
    });
  }

  /** Drops the connections of a VM, as after its removal from the fleet. */
  dropPeer(vm: string): void {
    for (const connection of this.#connections) {
      if (connection.peerVm === vm) connection.close();
    }
  }

  /** Stops listening and drops every connection. */
  close(): Promise<void> {
    for (const connection of this.#connections) connection.close();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(socket: Socket): void {
    this.#parts.traffic.track(socket);
    const connection = new ServerConnection(socket, {
      ...this.#parts,
      nonce: (sizeBytes) => randomBytes(sizeBytes).toString("base64url"),
      onAuthenticated: (ready) => this.#dropOlder(ready),
    });
    this.#connections.add(connection);
    socket.once("close", () => this.#connections.delete(connection));
  }

  /** A VM that dials again has lost its former connection. */
  #dropOlder(ready: ServerConnection): void {
    for (const other of this.#connections) {
      if (other !== ready && other.peerVm === ready.peerVm) other.close();
    }
  }
}
