import { createServer, type Server } from "node:http";
import {
  ClientConnections,
  createConnectionLimit,
  serveInOrder,
} from "../connections/index.ts";
import type { Address, ForwardingSettings } from "./settings.ts";
import {
  createStatusListener,
  type StatusListenerDependencies,
} from "./status_listener.ts";

/** The addresses for the platform and for other daemons. */
export function listStatusAddresses({ listen }: ForwardingSettings): Address[] {
  const { readiness, peers, metrics } = listen;
  return [readiness, peers, metrics].filter((one) => one !== undefined);
}

/** Dependencies of a status server. */
export interface StatusServerDependencies extends StatusListenerDependencies {
  /** Connections that it keeps open; undefined for no limit. */
  readonly maxConnections: number | undefined;
}

/**
 * Creates a server for the platform and other daemons. Its connections are
 * limited as those of clients are, since anybody may reach its port.
 */
export function createStatusServer(
  dependencies: StatusServerDependencies,
): Server {
  const { timer, holdings } = dependencies;
  const server = createServer(serveInOrder(createStatusListener(dependencies)));
  // Listens to the events of the server, for as long as it is open.
  new ClientConnections(server, timer, {
    ...createConnectionLimit(dependencies),
    memory: holdings,
  });
  return server;
}
