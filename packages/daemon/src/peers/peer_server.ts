import { randomBytes } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import type { TimerService } from "@coltsfootford/core";
import type { PeerAddress } from "./peer_connection.ts";
import type { Keyring } from "./keyring.ts";
import { MAX_PENDING_HANDSHAKES } from "./limits.ts";
import type { PeerEventListener } from "./peer_event.ts";
import type { PeerHandlers } from "./peer_handlers.ts";
import { ServerConnection } from "./server_connection.ts";
import type { TrafficCounter } from "./traffic_counter.ts";

/** The dependencies of a `PeerServer`. */
export interface PeerServerDependencies {
  readonly vm: string;
  readonly timer: TimerService;
  readonly keyring: Keyring;
  readonly handlers: PeerHandlers;
  readonly traffic: TrafficCounter;
  readonly onEvent: PeerEventListener;
}

/** Accepts the connections of other daemons and serves their calls. */
export class PeerServer {
  readonly #dependencies: PeerServerDependencies;
  readonly #server: Server;
  readonly #connections = new Set<ServerConnection>();

  constructor(dependencies: PeerServerDependencies) {
    this.#dependencies = dependencies;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to listen and returns the bound address. */
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

  /** Drops the connections of a VM, for instance after its removal. */
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
    this.#dependencies.traffic.track(socket);
    const connection = new ServerConnection(socket, {
      ...this.#dependencies,
      nonce: (sizeBytes) => randomBytes(sizeBytes).toString("base64url"),
      onAuthenticated: (newest) => this.#dropOlderConnections(newest),
    });
    this.#connections.add(connection);
    this.#dropExcessHandshakes();
    socket.once("close", () => this.#connections.delete(connection));
  }

  /** Drops the oldest connection without a key if there are too many. */
  #dropExcessHandshakes(): void {
    const pending = [...this.#connections].filter(({ peerVm }) =>
      peerVm === undefined
    );
    if (pending.length <= MAX_PENDING_HANDSHAKES) return;
    const [oldest] = pending;
    if (!oldest) return;
    this.#connections.delete(oldest);
    oldest.close();
  }

  /** Drops a VM's older connections; it dials again only after losing them. */
  #dropOlderConnections(newest: ServerConnection): void {
    for (const other of this.#connections) {
      if (other !== newest && other.peerVm === newest.peerVm) other.close();
    }
  }
}
