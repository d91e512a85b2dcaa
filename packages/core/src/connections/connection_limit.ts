import { BASE_BYTES } from "../byte_budget/index.ts";

/** Descriptors of a daemon that are reserved for files. */
export const RESERVED_FILE_DESCRIPTORS = 200;
/**
 * Share of the other descriptors that client connections may use. A request
 * uses a second one for its target, and peers and the store use the rest.
 */
export const CLIENT_DESCRIPTOR_SHARE = 0.45;

/** What the kernel may hold of a connection that is not read: its window. */
export const CONNECTION_WINDOW_BYTES = 64 * 1024;
/** Share of the memory above that of the process which windows may take. */
export const CONNECTION_MEMORY_SHARE = 0.45;
/** Connections that a daemon keeps open whatever its memory is. */
export const MIN_CONNECTIONS = 64;

/** The part of the limit for clients that each other port has. */
const CONTROL_CONNECTION_SHARE = 1 / 3;

/** The limits of a machine; undefined where they are not known. */
export interface MachineLimits {
  readonly maxDescriptors?: number | undefined;
  readonly memoryLimitBytes?: number | undefined;
}

/**
 * The number of client connections that a daemon keeps open, or undefined if
 * neither limit of its machine is known.
 */
export function maxClientConnections(
  { maxDescriptors, memoryLimitBytes }: MachineLimits,
): number | undefined {
  const limits: number[] = [];
  if (maxDescriptors !== undefined) {
    const descriptors = maxDescriptors - RESERVED_FILE_DESCRIPTORS;
    limits.push(Math.max(1, Math.floor(descriptors * CLIENT_DESCRIPTOR_SHARE)));
  }
  if (memoryLimitBytes !== undefined) {
    const windowBytes = (memoryLimitBytes - BASE_BYTES) *
      CONNECTION_MEMORY_SHARE;
    const connections = Math.floor(windowBytes / CONNECTION_WINDOW_BYTES);
    limits.push(Math.max(MIN_CONNECTIONS, connections));
  }
  return limits.length === 0 ? undefined : Math.min(...limits);
}

/**
 * The number of connections that a daemon keeps open at a port which only the
 * platform, operators or other daemons call; undefined as for clients.
 */
export function maxControlConnections(
  machine: MachineLimits,
): number | undefined {
  const connections = maxClientConnections(machine);
  if (connections === undefined) return undefined;
  return Math.max(1, Math.floor(connections * CONTROL_CONNECTION_SHARE));
}
