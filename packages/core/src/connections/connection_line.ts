/**
 * Time for which a connection should have been quiet before it is closed: the
 * client of a shorter pause is likely to be sending.
 */
export const QUIET_MS = 1_000;

/**
 * What a connection does: `idle` has had a response and no further request,
 * `receiving` waits for the rest of a request (also of its first one), `serving`
 * has received a request and owes its response.
 */
export type ConnectionPhase = "idle" | "receiving" | "serving";

/** What is known of a connection at one moment. */
export interface ConnectionActivity {
  readonly phase: ConnectionPhase;
  /** Bytes received over the life of the connection. */
  readonly receivedBytes: number;
}

interface Observed extends ConnectionActivity {
  readonly quietSinceMs: number;
}

/**
 * The client connections of a daemon, in the order in which they are closed if
 * there are too many. Idle connections come before those that receive a
 * request, and each in the order in which they became quiet. One that serves a
 * request is never closed.
 *
 * A connection is observed when it changes its phase as far as its owner knows,
 * and when it is next to be closed; in between, its progress counts from the
 * last observation.
 */
export class ConnectionLine<Connection> {
  readonly #read: (connection: Connection) => ConnectionActivity;
  /** Each phase in the order of `quietSinceMs`. */
  readonly #phases: Readonly<
    Record<ConnectionPhase, Map<Connection, Observed>>
  > = { idle: new Map(), receiving: new Map(), serving: new Map() };

  /** `read` returns what a connection does now. */
  constructor(read: (connection: Connection) => ConnectionActivity) {
    this.#read = read;
  }

  /** The number of connections. */
  get size(): number {
    const { idle, receiving, serving } = this.#phases;
    return idle.size + receiving.size + serving.size;
  }

  /** Adds a connection, or records what it does now. */
  observe(connection: Connection, nowMs: number): void {
    this.delete(connection);
    const { phase, receivedBytes } = this.#read(connection);
    const observed = { phase, receivedBytes, quietSinceMs: nowMs };
    this.#phases[phase].set(connection, observed);
  }

  delete(connection: Connection): void {
    for (const phase of Object.values(this.#phases)) phase.delete(connection);
  }

  /** The connection to close next, or undefined if each serves a request. */
  findNext(nowMs: number): Connection | undefined {
    return this.#findQuiet("idle", nowMs) ??
      this.#findQuiet("receiving", nowMs) ??
      this.#findAny("idle", nowMs) ??
      this.#findAny("receiving", nowMs);
  }

  /** The first connection that has been quiet for `QUIET_MS`. */
  #findQuiet(phase: ConnectionPhase, nowMs: number): Connection | undefined {
    for (const [connection, observed] of this.#phases[phase]) {
      if (nowMs - observed.quietSinceMs < QUIET_MS) return undefined;
      const activity = this.#read(connection);
      const isUnchanged = activity.phase === phase &&
        activity.receivedBytes === observed.receivedBytes;
      if (isUnchanged) return connection;
      this.observe(connection, nowMs);
    }
    return undefined;
  }

  /** The first connection that is still in its phase, quiet or not. */
  #findAny(phase: ConnectionPhase, nowMs: number): Connection | undefined {
    for (const connection of this.#phases[phase].keys()) {
      if (this.#read(connection).phase === phase) return connection;
      this.observe(connection, nowMs);
    }
    return undefined;
  }
}
