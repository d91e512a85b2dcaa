import type {
  CollectRequest,
  CollectResponse,
  OwnerEpoch,
  PermitRequest,
  PermitResponse,
  RejectionReason,
} from "./permit.ts";
import { isSameEpoch, UNKNOWN_ORPHANS } from "./permit.ts";
import { TargetLedger, type TargetReport } from "./target_ledger.ts";
import { RateMeter } from "./rate_meter.ts";

/** Options of a `TargetAdmission`. */
export interface TargetAdmissionOptions {
  /** Time within which a permit must be used, in ms. */
  readonly startWithinMs: number;
  /** Longest duration of a request, in ms. */
  readonly maxRequestMs: number;
  /** Timeout of a collect request, in ms. */
  readonly collectTimeoutMs: number;
}

interface Collection {
  readonly startedAtMs: number;
  /** Holders that have not responded yet. */
  readonly pendingHolders: Set<string>;
  /**
   * True once the owner stops waiting for a holder, or if the orphan count is
   * unknown. The target's own report must then cover the missing load.
   */
  hasUnresponsiveHolder: boolean;
}

/**
 * Admission control of one target at its owner. The owner first completes the
 * takeover from the previous owner and grants no permits until then. A holder
 * that responded to the takeover never uses permits of older epochs. If a
 * holder did not respond, the owner waits until older permits have expired. The
 * target's own report is then a lower bound of its load.
 */
export class TargetAdmission {
  readonly target: string;
  readonly #options: TargetAdmissionOptions;
  #epoch: OwnerEpoch;
  #ledger: TargetLedger;
  #collection: Collection | undefined;
  #isLeaving = false;
  #hasCompletedTakeover = false;
  #endRate = new RateMeter();

  constructor(target: string, owner: string, options: TargetAdmissionOptions) {
    this.target = target;
    this.#options = options;
    this.#epoch = { number: 0, owner };
    this.#ledger = new TargetLedger(options, 0);
  }

  get epoch(): OwnerEpoch {
    return this.#epoch;
  }

  /** Whether the takeover is complete, so that permits may be granted. */
  get isGranting(): boolean {
    return this.#epoch.number > 0 && this.#collection === undefined;
  }

  /** Whether the state was dropped, so that a new takeover must start. */
  get isDropped(): boolean {
    return this.#collection?.startedAtMs === Number.POSITIVE_INFINITY;
  }

  /** Upper bound of the load, for admission. */
  loadRequests(nowMs: number): number {
    return this.#ledger.loadRequests(nowMs);
  }

  /** Confirmed running requests, for the lower bound of the pool's load. */
  confirmedRequests(nowMs: number): number {
    return this.isGranting ? this.#ledger.runningRequests(nowMs) : 0;
  }

  /** Moving average of the permits that ended per second. */
  endedPerSecond(nowMs: number): number {
    return this.#endRate.perSecond(nowMs);
  }

  /**
   * Starts or restarts a takeover. Send the result to `holders`: every daemon
   * that may hold permits for the target, this one included. `knownEpochNumber`
   * is the highest epoch number that this daemon received for the target.
   */
  beginTakeover(
    holders: Iterable<string>,
    nowMs: number,
    knownEpochNumber = 0,
  ): CollectRequest {
    const number = Math.max(this.#epoch.number, knownEpochNumber) + 1;
    this.#epoch = { number, owner: this.#epoch.owner };
    this.#ledger = new TargetLedger(this.#options, nowMs);
    this.#collection = {
      startedAtMs: nowMs,
      pendingHolders: new Set(holders),
      hasUnresponsiveHolder: false,
    };
    return { target: this.target, epoch: this.#epoch };
  }

  /**
   * Applies a holder's response. A newer epoch drops the state: this daemon was
   * replaced, or it must restart the takeover with a higher epoch number.
   */
  onCollectResponse(
    holder: string,
    response: CollectResponse,
    nowMs: number,
  ): void {
    if (response.kind === "newer-epoch") {
      return this.onNewerEpoch(response.epoch);
    }
    if (!isSameEpoch(response.epoch, this.#epoch)) return;
    for (const permitId of response.startedPermitIds) {
      this.#ledger.hold(holder, permitId, nowMs);
    }
    const orphanRequests = response.orphanRequests ?? 0;
    this.#ledger.addOrphans(orphanRequests, nowMs);
    if (orphanRequests === UNKNOWN_ORPHANS && this.#collection) {
      this.#collection.hasUnresponsiveHolder = true;
    }
    this.#collection?.pendingHolders.delete(holder);
    this.advance(nowMs);
  }

  /** Number of orphaned requests, reported to the next owner. */
  orphanRequests(nowMs: number): number {
    if (this.isGranting) return this.#ledger.orphanRequests(nowMs);
    return this.#hasCompletedTakeover ? UNKNOWN_ORPHANS : 0;
  }

  /** Drops the state if the epoch of another owner is newer. */
  onNewerEpoch(epoch: OwnerEpoch): void {
    if (epoch.number < this.#epoch.number) return;
    if (isSameEpoch(epoch, this.#epoch)) return;
    this.#epoch = { number: epoch.number, owner: this.#epoch.owner };
    this.dropState();
  }

  /** Ends the takeover when its conditions are met. Call it regularly. */
  advance(nowMs: number): void {
    const collection = this.#collection;
    if (!collection) return;
    const elapsedMs = nowMs - collection.startedAtMs;
    const isLate = elapsedMs >= this.#options.collectTimeoutMs;
    if (isLate && collection.pendingHolders.size > 0) {
      collection.pendingHolders.clear();
      collection.hasUnresponsiveHolder = true;
    }
    if (collection.pendingHolders.size > 0) return;
    if (collection.hasUnresponsiveHolder) return;
    this.#collection = undefined;
    this.#hasCompletedTakeover = true;
  }

  /**
   * Applies the target's report of its own load. The report is the lower bound
   * of the load in a takeover with unresponsive holders.
   */
  recordReport(
    report: TargetReport,
    nowMs: number,
    hasMessageSince: (holder: string) => boolean = () => true,
  ): void {
    const lostBefore = this.#ledger.lostRequests;
    const isLowerBound = this.#collection?.hasUnresponsiveHolder === true;
    this.#ledger.recordReport(report, nowMs, { isLowerBound, hasMessageSince });
    for (let lost = this.#ledger.lostRequests; lost < lostBefore; lost++) {
      this.#endRate.record(nowMs);
    }
    this.advance(nowMs);
    const collection = this.#collection;
    if (!collection?.hasUnresponsiveHolder) return;
    if (collection.pendingHolders.size > 0) return;
    const safeFromMs = collection.startedAtMs + this.#options.startWithinMs;
    if (report.measuredAtMs < safeFromMs) return;
    this.#collection = undefined;
    this.#hasCompletedTakeover = true;
  }

  /** Decides on a permit request by the pool's current load limit. */
  decide(
    holder: string,
    request: PermitRequest,
    limitRequests: number,
    nowMs: number,
  ): PermitResponse {
    const permitId = request.permitId;
    const reason = this.#rejectionReason();
    if (reason) return { kind: "refused", permitId, reason };
    if (!this.#ledger.tryGrant(holder, permitId, limitRequests, nowMs)) {
      return { kind: "refused", permitId, reason: "at-limit" };
    }
    return {
      kind: "granted",
      target: this.target,
      permitId,
      epoch: this.#epoch,
      startWithinMs: this.#options.startWithinMs,
    };
  }

  /**
   * Releases a permit whose response has ended or that was not used. Returns
   * whether the permit was outstanding here.
   */
  release(holder: string, permitId: number, nowMs: number): boolean {
    if (!this.#ledger.release(holder, permitId, nowMs)) return false;
    this.#endRate.record(nowMs);
    return true;
  }

  /** Counts requests of a holder that the takeover did not collect. */
  adopt(holder: string, permitIds: readonly number[], nowMs: number): void {
    for (const permitId of permitIds) {
      this.#ledger.hold(holder, permitId, nowMs);
    }
  }

  /** Handles a holder that is gone or whose connection was lost. */
  onHolderGone(holder: string, nowMs: number): void {
    this.#ledger.dropHolder(holder, nowMs);
    if (this.#collection?.pendingHolders.delete(holder)) {
      this.#collection.hasUnresponsiveHolder = true;
    }
  }

  /** A leaving target does not count in the mean load of its pool. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Sets whether the target leaves and gets no further permits. */
  setLeaving(isLeaving: boolean): void {
    this.#isLeaving = isLeaving;
  }

  /**
   * Drops the permits after a pause, since another owner may have granted
   * permits meanwhile. No permit is granted until a new takeover is complete.
   */
  dropState(): void {
    this.#ledger = new TargetLedger(this.#options, Number.POSITIVE_INFINITY);
    this.#collection = {
      startedAtMs: Number.POSITIVE_INFINITY,
      pendingHolders: new Set(),
      hasUnresponsiveHolder: true,
    };
  }

  #rejectionReason(): RejectionReason | undefined {
    if (this.#isLeaving) return "leaving";
    if (!this.isGranting) return "not-ready";
    return undefined;
  }
}
