import type {
  CollectAnswer,
  CollectRequest,
  OwnerEpoch,
  PermitGrant,
} from "./permit.ts";
import { isSameEpoch } from "./permit.ts";

/** What a grant is worth when it arrives. */
export type GrantCheck = "usable" | "late" | "stale-epoch" | "unknown-ask";

interface HeldPermit {
  readonly permitId: number;
  /** The first target of the ask; once granted, that of the permit. */
  target: string;
  /** The keeper that was asked, or that collected the permit since. */
  owner: string;
  /** Read before the ask was sent. */
  readonly askedAtMs: number;
  state: "asked" | "granted" | "started";
  epoch: OwnerEpoch | undefined;
  startByMs: number;
}

/** A permit to hand back to the keeper of its target. */
export interface PermitReturn {
  readonly target: string;
  /** Where it belongs: the keeper that gave or that collected it. */
  readonly owner: string;
  readonly permitId: number;
}

/**
 * The permits that one daemon asked for. It never starts a request on a permit
 * whose time has passed on the daemon's own monotonic clock, nor on one of an
 * epoch older than it answered to.
 */
export class PermitHolder {
  readonly #permits = new Map<number, HeldPermit>();
  readonly #epochs = new Map<string, OwnerEpoch>();
  readonly #startedByTarget = new Map<string, Set<number>>();
  #returns: PermitReturn[] = [];
  #adoptions: { target: string; permitIds: readonly number[] }[] = [];
  #nextPermitId = 1;

  /** Permits asked for or held. */
  get size(): number {
    return this.#permits.size;
  }

  /** Notes a new ask. Send it only after this call. */
  createPermitRequest(target: string, owner: string, nowMs: number): number {
    const permitId = this.#nextPermitId++;
    this.#permits.set(permitId, {
      permitId: permitId,
      target,
      owner: owner,
      askedAtMs: nowMs,
      state: "asked",
      epoch: undefined,
      startByMs: nowMs,
    });
    return permitId;
  }

  /**
   * Takes a grant. Any verdict but `usable` hands the permit back. After
   * `stale-epoch` the keeper has to be told of `epochOf` the target: it may not
   * know that it was replaced.
   */
  noteGrant(grant: PermitGrant, nowMs: number): GrantCheck {
    const permit = this.#permits.get(grant.permitId);
    if (!permit) return "unknown-ask";
    permit.target = grant.target;
    permit.startByMs = permit.askedAtMs + grant.startWithinMs;
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

  /** Notes a refusal: nothing was counted, nothing is handed back. */
  noteRefusal(permitId: number): void {
    this.#permits.delete(permitId);
  }

  /**
   * Call it right before the request is sent; false means it must not be. The
   * permit is handed back then.
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

  /** The answer has ended, or the ask is given up. Hands the permit back. */
  end(permitId: number): void {
    const permit = this.#permits.get(permitId);
    if (!permit) return;
    this.#permits.delete(permitId);
    const started = this.#startedByTarget.get(permit.target);
    started?.delete(permitId);
    if (started?.size === 0) this.#startedByTarget.delete(permit.target);
    const { target, owner: owner } = permit;
    this.#returns.push({ target, owner: owner, permitId: permitId });
  }

  /** The newest epoch that this daemon answered to, if any. */
  epochOf(target: string): OwnerEpoch | undefined {
    return this.#epochs.get(target);
  }

  /** Requests of this daemon that run at the target. */
  startedPermitIds(target: string): readonly number[] {
    return [...this.#startedByTarget.get(target) ?? []];
  }

  /** Answers a new keeper. Permits of older epochs are void from here on. */
  answerCollect(request: CollectRequest): CollectAnswer {
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

  /** Permits to hand back since the last call. */
  takeReturns(): readonly PermitReturn[] {
    const returns = this.#returns;
    this.#returns = [];
    return returns;
  }

  /**
   * Requests that run on permits of an older keeper than the one just met. The
   * new keeper must hear of them before it is asked again.
   */
  takeAdoptions(): readonly {
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
      this.#adoptions.push({ target, permitIds: permitIds });
    }
    return true;
  }

  /** From here on the running requests belong to the keeper of `epoch`. */
  #setEpoch(target: string, epoch: OwnerEpoch): void {
    this.#epochs.set(target, epoch);
    for (const permitId of this.startedPermitIds(target)) {
      const permit = this.#permits.get(permitId);
      if (permit) permit.owner = epoch.owner;
    }
  }
}
