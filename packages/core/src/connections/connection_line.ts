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

/** The connections of a phase as far as known. */
interface PhaseOrder<Connection> {
  /** In the order in which they became quiet. */
  readonly byQuiet: Map<Connection, Observed>;
  /** In the order in which they entered the phase. */
  readonly byEntry: Set<Connection>;
}

/**
 * The client connections of a daemon, in the order in which they are closed if
 * there are too many. Quiet connections come first, the idle ones before those
 * that receive a request, and each in the order in which they became quiet. If
 * all make progress, those that have been in their phase for longest come first,
 * so that a crowd of slow requests does not close each new connection. One that
 * serves a request is never closed.
 *
 * A connection is observed when it changes its phase as far as its owner knows,
 * and when it is next to be closed; in between, its progress counts from the
 * last observation.
 */
export class ConnectionLine<Connection> {
  readonly #read: (connection: Connection) => ConnectionActivity;
  readonly #phases: Readonly<
    Record<ConnectionPhase, PhaseOrder<Connection>>
  > = {
    idle: newPhaseOrder(),
    receiving: newPhaseOrder(),
    serving: newPhaseOrder(),
  };

  /** `read` returns what a connection does now. */
  constructor(read: (connection: Connection) => ConnectionActivity) {
    this.#read = read;
  }

  /** The number of connections. */
  get size(): number {
    const { idle, receiving, serving } = this.#phases;
    return idle.byEntry.size + receiving.byEntry.size + serving.byEntry.size;
  }

  /** Adds a connection, or records what it does now. */
  observe(connection: Connection, nowMs: number): void {
    const { phase, receivedBytes } = this.#read(connection);
    for (const [other, order] of Object.entries(this.#phases)) {
      order.byQuiet.delete(connection);
      if (other !== phase) order.byEntry.delete(connection);
    }
    const { byQuiet, byEntry } = this.#phases[phase];
    byQuiet.set(connection, { phase, receivedBytes, quietSinceMs: nowMs });
    // Keeps the place of a connection that was in this phase before.
    byEntry.add(connection);
  }

  delete(connection: Connection): void {
    for (const { byQuiet, byEntry } of Object.values(this.#phases)) {
      byQuiet.delete(connection);
      byEntry.delete(connection);
    }
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
    for (const [connection, observed] of this.#phases[phase].byQuiet) {
      if (nowMs - observed.quietSinceMs < QUIET_MS) return undefined;
      const activity = this.#read(connection);
      const isUnchanged = activity.phase === phase &&
        activity.receivedBytes === observed.receivedBytes;
      if (isUnchanged) return connection;
      this.observe(connection, nowMs);
    }
    return undefined;
  }

  /** The longest in its phase, quiet or not. */
  #findAny(phase: ConnectionPhase, nowMs: number): Connection | undefined {
    for (const connection of this.#phases[phase].byEntry) {
      if (this.#read(connection).phase === phase) return connection;
      this.observe(connection, nowMs);
    }
    return undefined;
  }
}

function newPhaseOrder<Connection>(): PhaseOrder<Connection> {
  return { byQuiet: new Map(), byEntry: new Set() };
}
