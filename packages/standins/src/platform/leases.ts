import { monotonicMs } from "../truth/index.ts";

const MS_PER_SECOND = 1000;
const FIRST_LEASE_ID = 7_587_000_000_000_001n;

/** A lease that has neither expired nor been revoked. */
export interface Lease {
  readonly id: string;
  readonly ttlSeconds: number;
  expiresAtMs: number;
  readonly timer: NodeJS.Timeout;
}

/** A saved state of `Leases`. */
export interface LeasesSnapshot {
  readonly nextId: bigint;
  readonly leases: readonly Pick<Lease, "id" | "ttlSeconds">[];
}

/** Leases that expire unless they are kept alive. */
export class Leases {
  readonly #leases = new Map<string, Lease>();
  readonly #onEnd: (leaseId: string) => void;
  #nextId = FIRST_LEASE_ID;

  /** Calls `onEnd` after a lease has expired or was revoked. */
  constructor(onEnd: (leaseId: string) => void) {
    this.#onEnd = onEnd;
  }

  /** Grants a lease; undefined if the requested id is in use. */
  grant(ttlSeconds: number, requestedId: string): Lease | undefined {
    const id = requestedId === "0" ? String(this.#nextId++) : requestedId;
    if (this.#leases.has(id)) return undefined;
    const timer = setTimeout(() => this.revoke(id), ttlSeconds * MS_PER_SECOND);
    timer.unref();
    const expiresAtMs = monotonicMs() + ttlSeconds * MS_PER_SECOND;
    const lease: Lease = { id, ttlSeconds, expiresAtMs, timer };
    this.#leases.set(id, lease);
    return lease;
  }

  get(id: string): Lease | undefined {
    return this.#leases.get(id);
  }

  /** Restarts the TTL of a lease; undefined if there is no such lease. */
  keepAlive(id: string): Lease | undefined {
    const lease = this.#leases.get(id);
    if (!lease) return undefined;
    lease.expiresAtMs = monotonicMs() + lease.ttlSeconds * MS_PER_SECOND;
    lease.timer.refresh();
    return lease;
  }

  revoke(id: string): boolean {
    const lease = this.#leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    this.#onEnd(id);
    return true;
  }

  save(): LeasesSnapshot {
    const leases = [...this.#leases.values()]
      .map(({ id, ttlSeconds }) => ({ id, ttlSeconds }));
    return { nextId: this.#nextId, leases };
  }

  /**
   * Reverts to older leases, each with its whole TTL, and to the ids that are
   * granted next, as a restored backup does.
   */
  restore({ nextId, leases }: LeasesSnapshot): void {
    this.clear();
    for (const { id, ttlSeconds } of leases) this.grant(ttlSeconds, id);
    this.#nextId = nextId;
  }

  /** Remaining time, rounded up to seconds. */
  remainingSeconds(lease: Lease): number {
    const remainingMs = Math.max(0, lease.expiresAtMs - monotonicMs());
    return Math.ceil(remainingMs / MS_PER_SECOND);
  }

  /** Drops all leases; their keys stay. */
  clear(): void {
    for (const lease of this.#leases.values()) clearTimeout(lease.timer);
    this.#leases.clear();
  }
}
