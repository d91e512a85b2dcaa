import type {
  CollectRequest,
  CollectResponse,
  OwnerEpoch,
  PermitGrant,
} from "./permit.ts";
import { isSameEpoch } from "./permit.ts";

/** Whether a received grant can be used, and if not, why. */
export type GrantCheck = "usable" | "late" | "stale-epoch" | "unknown-ask";

interface HeldPermit {
  readonly permitId: number;
  /** The first requested target; after the grant, the granted one. */
  target: string;
  /** The owner that got the request, or that collected the permit since. */
  owner: string;
  /** Time before the request was sent. */
  readonly requestedAtMs: number;
  state: "asked" | "granted" | "started";
  epoch: OwnerEpoch | undefined;
  startByMs: number;
}

/** A permit to return to the owner of its target. */
export interface PermitReturn {
  readonly target: string;
  /** The owner that counts the permit: it granted or collected it. */
  readonly owner: string;
  readonly permitId: number;
}

/**
 * The permits that one daemon requested. The holder never starts a request on a
 * permit that has expired on the daemon's own monotonic clock, nor on a permit
 * of an epoch older than the newest one that the holder accepted.
 */
export class PermitHolder {
  readonly #permits = new Map<number, HeldPermit>();
  readonly #epochs = new Map<string, OwnerEpoch>();
  readonly #startedByTarget = new Map<string, Set<number>>();
  #returns: PermitReturn[] = [];
  #adoptions: { target: string; permitIds: readonly number[] }[] = [];
  #nextPermitId = 1;

  /** Number of permits requested or held. */
  get size(): number {
    return this.#permits.size;
  }

  /** Registers a new permit request. Send it only after this call. */
  createPermitRequest(target: string, owner: string, nowMs: number): number {
    const permitId = this.#nextPermitId++;
    this.#permits.set(permitId, {
      permitId,
      target,
      owner,
      requestedAtMs: nowMs,
      state: "asked",
      epoch: undefined,
      startByMs: nowMs,
    });
    return permitId;
  }

  /**
   * Handles a grant. The permit is returned unless the result is `usable`.
   * After `stale-epoch`, send `epochOf` the target to the owner, which may not
   * have detected that it was replaced.
   */
  receiveGrant(grant: PermitGrant, nowMs: number): GrantCheck {
    const permit = this.#permits.get(grant.permitId);
    if (!permit) return "unknown-ask";
    permit.target = grant.target;
    permit.startByMs = permit.requestedAtMs + grant.startWithinMs;
    permit.epoch = grant.epoch;
    permit.state = "granted";
    if (!this.#acceptEpoch(permit.target, grant.epoch)) {
      this.end(grant.permitId);
      return "stale-epoch";
    }
    if (nowMs >= permit.startByMs) {
      this.end(grant.permitId);
      return "late";
    }
    return "usable";
  }

  /** Handles a rejection. The owner counted no load, so nothing is returned. */
  receiveRejection(permitId: number): void {
    this.#permits.delete(permitId);
  }

  /**
   * Marks the permit as used. Call it right before sending the request. On
   * false the request must not be sent, and the permit is returned.
   */
  start(permitId: number, nowMs: number): boolean {
    const permit = this.#permits.get(permitId);
    if (!permit || permit.state !== "granted") return false;
    const isCurrent = permit.epoch !== undefined &&
      this.#acceptEpoch(permit.target, permit.epoch);
    if (!isCurrent || nowMs >= permit.startByMs) {
      this.end(permitId);
      return false;
    }
    permit.state = "started";
    const started = this.#startedByTarget.get(permit.target) ?? new Set();
    started.add(permitId);
    this.#startedByTarget.set(permit.target, started);
    return true;
  }

  /**
   * Queues the return of a permit whose response has ended or whose request was
   * given up.
   */
  end(permitId: number): void {
    const permit = this.#permits.get(permitId);
    if (!permit) return;
    this.#permits.delete(permitId);
    const started = this.#startedByTarget.get(permit.target);
    started?.delete(permitId);
    if (started?.size === 0) this.#startedByTarget.delete(permit.target);
    const { target, owner } = permit;
    this.#returns.push({ target, owner, permitId });
  }

  /** Newest epoch of the target that this daemon accepted, if any. */
  epochOf(target: string): OwnerEpoch | undefined {
    return this.#epochs.get(target);
  }

  /** Permits of this daemon's requests that run at the target. */
  startedPermitIds(target: string): readonly number[] {
    return [...this.#startedByTarget.get(target) ?? []];
  }

  /** Responds to a new owner; invalidates the permits of older epochs. */
  respondToCollect(request: CollectRequest): CollectResponse {
    const { target, epoch } = request;
    const known = this.#epochs.get(target);
    const isNewer = !known || epoch.number > known.number ||
      isSameEpoch(epoch, known);
    if (!isNewer) return { kind: "newer-epoch", target, epoch: known };
    this.#setEpoch(target, epoch);
    return {
      kind: "collected",
      target,
      epoch,
      startedPermitIds: this.startedPermitIds(target),
    };
  }

  /** Drains the queue of permits to return to their owners. */
  drainReturns(): readonly PermitReturn[] {
    const returns = this.#returns;
    this.#returns = [];
    return returns;
  }

  /**
   * Removes and returns the running requests whose permits a previous owner
   * granted. They must reach the new owner before the next permit request.
   */
  drainAdoptions(): readonly {
    readonly target: string;
    readonly permitIds: readonly number[];
  }[] {
    const adoptions = this.#adoptions;
    this.#adoptions = [];
    return adoptions;
  }

  #acceptEpoch(target: string, epoch: OwnerEpoch): boolean {
    const known = this.#epochs.get(target);
    if (known && isSameEpoch(known, epoch)) return true;
    if (known && epoch.number <= known.number) return false;
    this.#setEpoch(target, epoch);
    const permitIds = this.startedPermitIds(target);
    if (known && permitIds.length > 0) {
      this.#adoptions.push({ target, permitIds });
    }
    return true;
  }

  /** Assigns the running requests to the owner of `epoch`. */
  #setEpoch(target: string, epoch: OwnerEpoch): void {
    this.#epochs.set(target, epoch);
    for (const permitId of this.startedPermitIds(target)) {
      const permit = this.#permits.get(permitId);
      if (permit) permit.owner = epoch.owner;
    }
  }
}
