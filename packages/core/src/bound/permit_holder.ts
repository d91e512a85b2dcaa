import type {
  CollectAnswer,
  CollectRequest,
  KeeperEpoch,
  PermitGrant,
} from "./permit.ts";
import { isSameEpoch } from "./permit.ts";

/** What a grant is worth when it arrives. */
export type GrantVerdict = "usable" | "late" | "stale-epoch" | "unknown-ask";

interface HeldPermit {
  readonly askId: number;
  /** The first target of the ask; once granted, that of the permit. */
  target: string;
  /** The keeper that was asked, or that collected the permit since. */
  keeper: string;
  /** Read before the ask was sent. */
  readonly askedAtMs: number;
  state: "asked" | "granted" | "started";
  epoch: KeeperEpoch | undefined;
  startByMs: number;
}

/** A permit to hand back to the keeper of its target. */
export interface PermitReturn {
  readonly target: string;
  /** Where it belongs: the keeper that gave or that collected it. */
  readonly keeper: string;
  readonly askId: number;
}

/**
 * The permits that one daemon asked for. It never starts a request on a permit
 * whose time has passed on the daemon's own monotonic clock, nor on one of an
 * epoch older than it answered to.
 */
export class PermitHolder {
  readonly #permits = new Map<number, HeldPermit>();
  readonly #epochs = new Map<string, KeeperEpoch>();
  readonly #startedByTarget = new Map<string, Set<number>>();
  #returns: PermitReturn[] = [];
  #adoptions: { target: string; askIds: readonly number[] }[] = [];
  #nextAskId = 1;

  /** Permits asked for or held. */
  get size(): number {
    return this.#permits.size;
  }

  /** Notes a new ask. Send it only after this call. */
  createAsk(target: string, keeper: string, nowMs: number): number {
    const askId = this.#nextAskId++;
    this.#permits.set(askId, {
      askId,
      target,
      keeper,
      askedAtMs: nowMs,
      state: "asked",
      epoch: undefined,
      startByMs: nowMs,
    });
    return askId;
  }

  /**
   * Takes a grant. Any verdict but `usable` hands the permit back. After
   * `stale-epoch` the keeper has to be told of `epochOf` the target: it may not
   * know that it was replaced.
   */
  noteGrant(grant: PermitGrant, nowMs: number): GrantVerdict {
    const permit = this.#permits.get(grant.askId);
    if (!permit) return "unknown-ask";
    permit.target = grant.target;
    permit.startByMs = permit.askedAtMs + grant.startWithinMs;
    permit.epoch = grant.epoch;
    permit.state = "granted";
    if (!this.#acceptEpoch(permit.target, grant.epoch)) {
      this.end(grant.askId);
      return "stale-epoch";
    }
    if (nowMs >= permit.startByMs) {
      this.end(grant.askId);
      return "late";
    }
    return "usable";
  }

  /** Notes a refusal: nothing was counted, nothing is handed back. */
  noteRefusal(askId: number): void {
    this.#permits.delete(askId);
  }

  /**
   * Call it right before the request is sent; false means it must not be. The
   * permit is handed back then.
   */
  start(askId: number, nowMs: number): boolean {
    const permit = this.#permits.get(askId);
    if (!permit || permit.state !== "granted") return false;
    const isCurrent = permit.epoch !== undefined &&
      this.#acceptEpoch(permit.target, permit.epoch);
    if (!isCurrent || nowMs >= permit.startByMs) {
      this.end(askId);
      return false;
    }
    permit.state = "started";
    const started = this.#startedByTarget.get(permit.target) ?? new Set();
    started.add(askId);
    this.#startedByTarget.set(permit.target, started);
    return true;
  }

  /** The answer has ended, or the ask is given up. Hands the permit back. */
  end(askId: number): void {
    const permit = this.#permits.get(askId);
    if (!permit) return;
    this.#permits.delete(askId);
    const started = this.#startedByTarget.get(permit.target);
    started?.delete(askId);
    if (started?.size === 0) this.#startedByTarget.delete(permit.target);
    const { target, keeper } = permit;
    this.#returns.push({ target, keeper, askId });
  }

  /** The newest epoch that this daemon answered to, if any. */
  epochOf(target: string): KeeperEpoch | undefined {
    return this.#epochs.get(target);
  }

  /** Requests of this daemon that run at the target. */
  startedAskIds(target: string): readonly number[] {
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
      startedAskIds: this.startedAskIds(target),
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
    readonly askIds: readonly number[];
  }[] {
    const adoptions = this.#adoptions;
    this.#adoptions = [];
    return adoptions;
  }

  #acceptEpoch(target: string, epoch: KeeperEpoch): boolean {
    const known = this.#epochs.get(target);
    if (known && isSameEpoch(known, epoch)) return true;
    if (known && epoch.number <= known.number) return false;
    this.#setEpoch(target, epoch);
    const askIds = this.startedAskIds(target);
    if (known && askIds.length > 0) this.#adoptions.push({ target, askIds });
    return true;
  }

  /** From here on the running requests belong to the keeper of `epoch`. */
  #setEpoch(target: string, epoch: KeeperEpoch): void {
    this.#epochs.set(target, epoch);
    for (const askId of this.startedAskIds(target)) {
      const permit = this.#permits.get(askId);
      if (permit) permit.keeper = epoch.keeper;
    }
  }
}
