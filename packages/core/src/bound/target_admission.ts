import type {
  CollectAnswer,
  CollectRequest,
  OwnerEpoch,
  PermitRequest,
  PermitResponse,
  RefusalReason,
} from "./permit.ts";
import { isSameEpoch, UNKNOWN_ORPHANS } from "./permit.ts";
import { TargetLedger, type TargetReport } from "./target_ledger.ts";
import { RateMeter } from "./rate_meter.ts";

/** Settings of a `TargetAdmission`. */
export interface TargetAdmissionOptions {
  /** Time within which a permit must be used. */
  readonly startWithinMs: number;
  /** No request runs longer than this, in ms. */
  readonly maxRequestMs: number;
  /** Time that holders have to answer a collect request. */
  readonly collectTimeoutMs: number;
}

interface Collection {
  readonly startedAtMs: number;
  /** Holders whose answer is missing. */
  readonly waitingFor: Set<string>;
  /** True once a holder is given up: the target's report must cover it. */
  hasSilentHolder: boolean;
}

/**
 * Admission to one target at its keeper: first the take-over from a former
 * keeper, then the granting of permits. During the take-over nothing is
 * granted. Holders that answered never use older permits; for holders that
 * did not, the keeper waits until older permits can no longer be used and
 * then takes the target's own count as the floor of its load.
 */
export class TargetAdmission {
  readonly target: string;
  readonly #options: TargetAdmissionOptions;
  #epoch: OwnerEpoch;
  #ledger: TargetLedger;
  #collection: Collection | undefined;
  #isLeaving = false;
  /** Whether a ledger of this keeper was ever complete. */
  #hasGranted = false;
  #endRate = new RateMeter();

  constructor(target: string, owner: string, options: TargetAdmissionOptions) {
    this.target = target;
    this.#options = options;
    this.#epoch = { number: 0, owner: owner };
    this.#ledger = new TargetLedger(options, 0);
  }

  get epoch(): OwnerEpoch {
    return this.#epoch;
  }

  /** Whether the take-over has ended, so that permits may be granted. */
  get isGranting(): boolean {
    return this.#epoch.number > 0 && this.#collection === undefined;
  }

  /** Whether a take-over has to be started before anything is granted. */
  get isDropped(): boolean {
    return this.#collection?.startedAtMs === Number.POSITIVE_INFINITY;
  }

  /** Upper bound of the load, for admission. */
  loadRequests(nowMs: number): number {
    return this.#ledger.loadRequests(nowMs);
  }

  /** Load that is known to run, for the lower bound of the pool's load. */
  vouchedRequests(nowMs: number): number {
    return this.isGranting ? this.#ledger.runningRequests(nowMs) : 0;
  }

  /** Permits that ended a second, a moving average. */
  endedPerSecond(nowMs: number): number {
    return this.#endRate.perSecond(nowMs);
  }

  /**
   * Starts or restarts a take-over. The result is to be sent to `holders`:
   * every daemon that may hold permits for the target, this one included.
   * `knownEpochNumber` is the newest that this daemon met for the target.
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
      waitingFor: new Set(holders),
      hasSilentHolder: false,
    };
    return { target: this.target, epoch: this.#epoch };
  }

  /**
   * Takes a holder's answer. Where a newer epoch was met, the state is dropped:
   * this daemon was replaced, or it has to begin again with a higher number.
   */
  noteCollectAnswer(
    holder: string,
    answer: CollectAnswer,
    nowMs: number,
  ): void {
    if (answer.kind === "newer-epoch") return this.noteNewerEpoch(answer.epoch);
    if (!isSameEpoch(answer.epoch, this.#epoch)) return;
    for (const permitId of answer.startedPermitIds) {
      this.#ledger.hold(holder, permitId, nowMs);
    }
    const orphanRequests = answer.orphanRequests ?? 0;
    this.#ledger.addOrphans(orphanRequests, nowMs);
    if (orphanRequests === UNKNOWN_ORPHANS && this.#collection) {
      this.#collection.hasSilentHolder = true;
    }
    this.#collection?.waitingFor.delete(holder);
    this.advance(nowMs);
  }

  /** What this keeper tells its successor of load without a holder. */
  orphanRequests(nowMs: number): number {
    if (this.isGranting) return this.#ledger.orphanRequests(nowMs);
    return this.#hasGranted ? UNKNOWN_ORPHANS : 0;
  }

  /** Notes an epoch of another keeper; a newer one drops this one's state. */
  noteNewerEpoch(epoch: OwnerEpoch): void {
    if (epoch.number < this.#epoch.number) return;
    if (isSameEpoch(epoch, this.#epoch)) return;
    this.#epoch = { number: epoch.number, owner: this.#epoch.owner };
    this.dropState();
  }

  /** Ends the take-over when its conditions are met. Call it regularly. */
  advance(nowMs: number): void {
    const collection = this.#collection;
    if (!collection) return;
    const elapsedMs = nowMs - collection.startedAtMs;
    const isLate = elapsedMs >= this.#options.collectTimeoutMs;
    if (isLate && collection.waitingFor.size > 0) {
      collection.waitingFor.clear();
      collection.hasSilentHolder = true;
    }
    if (collection.waitingFor.size > 0) return;
    if (collection.hasSilentHolder) return;
    this.#collection = undefined;
    this.#hasGranted = true;
  }

  /** Takes the target's own count, the floor of a take-over with silence. */
  noteReport(
    report: TargetReport,
    nowMs: number,
    isHeard: (holder: string) => boolean = () => true,
  ): void {
    const lostBefore = this.#ledger.lostRequests;
    const isFloor = this.#collection?.hasSilentHolder === true;
    this.#ledger.noteReport(report, nowMs, { isFloor, isHeard });
    for (let lost = this.#ledger.lostRequests; lost < lostBefore; lost++) {
      this.#endRate.note(nowMs);
    }
    this.advance(nowMs);
    const collection = this.#collection;
    if (!collection?.hasSilentHolder) return;
    if (collection.waitingFor.size > 0) return;
    const safeFromMs = collection.startedAtMs + this.#options.startWithinMs;
    if (report.measuredAtMs < safeFromMs) return;
    this.#collection = undefined;
    this.#hasGranted = true;
  }

  /** Answers an ask; the limit is of the pool at this moment. */
  answer(
    holder: string,
    ask: PermitRequest,
    limitRequests: number,
    nowMs: number,
  ): PermitResponse {
    const permitId = ask.permitId;
    const reason = this.#refusalReason();
    if (reason) return { kind: "refused", permitId: permitId, reason };
    if (!this.#ledger.tryGrant(holder, permitId, limitRequests, nowMs)) {
      return { kind: "refused", permitId: permitId, reason: "at-limit" };
    }
    return {
      kind: "granted",
      target: this.target,
      permitId: permitId,
      epoch: this.#epoch,
      startWithinMs: this.#options.startWithinMs,
    };
  }

  /**
   * Ends a permit whose answer has ended or that was not used. Returns whether
   * it was outstanding here.
   */
  release(holder: string, permitId: number, nowMs: number): boolean {
    if (!this.#ledger.release(holder, permitId, nowMs)) return false;
    this.#endRate.note(nowMs);
    return true;
  }

  /** Counts requests of a holder that this keeper did not collect. */
  adopt(holder: string, permitIds: readonly number[], nowMs: number): void {
    for (const permitId of permitIds) {
      this.#ledger.hold(holder, permitId, nowMs);
    }
  }

  /** A holder is gone, or its connection was lost. */
  noteHolderGone(holder: string, nowMs: number): void {
    this.#ledger.dropHolder(holder, nowMs);
    if (this.#collection?.waitingFor.delete(holder)) {
      this.#collection.hasSilentHolder = true;
    }
  }

  /** A leaving target does not count in the mean of its pool. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** A leaving target gets no further permits. */
  noteLeaving(isLeaving: boolean): void {
    this.#isLeaving = isLeaving;
  }

  /**
   * Forgets the permits after a pause: another keeper may have granted since.
   * Nothing is granted until a new take-over has ended.
   */
  dropState(): void {
    this.#ledger = new TargetLedger(this.#options, Number.POSITIVE_INFINITY);
    this.#collection = {
      startedAtMs: Number.POSITIVE_INFINITY,
      waitingFor: new Set(),
      hasSilentHolder: true,
    };
  }

  #refusalReason(): RefusalReason | undefined {
    if (this.#isLeaving) return "leaving";
    if (!this.isGranting) return "not-ready";
    return undefined;
  }
}
