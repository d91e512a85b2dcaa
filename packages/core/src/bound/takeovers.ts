import type { PeerActivity } from "./peer_activity.ts";
import type { DelayedResponse } from "./permit_request_queue.ts";
import type { OwnedTargets, PreviousOwner } from "./owned_targets.ts";
import type { CollectRequest, CollectResponse } from "./permit.ts";
import type { PermitHolder } from "./permit_holder.ts";

/** Time after its last message that a daemon may still hold permits, in ms. */
const HOLDER_RETENTION_MS = 60_000;

/** A target that the view assigns to this daemon. */
export interface OwnedTargetView {
  readonly name: string;
  readonly pool: string;
  /** Whether the target has just started to serve in a pool with others. */
  readonly isNew: boolean;
  readonly isLeaving: boolean;
}

/** Dependencies of `Takeovers`. */
export interface TakeoversDependencies {
  /** Name of this daemon. */
  readonly name: string;
  readonly ownedTargets: OwnedTargets;
  readonly holder: PermitHolder;
  readonly peerActivity: PeerActivity;
  /** Daemons that may hold permits, this one included. */
  readonly viewedHolders: () => readonly string[];
  readonly sendCollect: (to: string, request: CollectRequest) => void;
  /** Age above which a report is ignored, in ms. */
  readonly maxReportAgeMs: number;
  /** Delay before taking back a target that another daemon collected, in ms. */
  readonly retakeMs: number;
}

/** Takes over targets from previous owners and responds to new owners. */
export class Takeovers {
  readonly #dependencies: TakeoversDependencies;
  readonly #retakesAtMs = new Map<string, number>();
  #assigned = new Map<string, OwnedTargetView>();

  constructor(dependencies: TakeoversDependencies) {
    this.#dependencies = dependencies;
  }

  /** Sets the targets assigned to this daemon; takes over the new ones. */
  setOwned(
    targets: readonly OwnedTargetView[],
    nowMs: number,
  ): readonly DelayedResponse[] {
    const { ownedTargets } = this.#dependencies;
    this.#assigned = new Map(targets.map((target) => [target.name, target]));
    const delayed: DelayedResponse[] = [];
    for (const name of ownedTargets.targetNames()) {
      if (!this.#assigned.has(name)) {
        delayed.push(...ownedTargets.giveUpOwnership(name));
      }
    }
    for (const target of targets) {
      if (!ownedTargets.admissionOf(target.name)) this.#begin(target, nowMs);
      ownedTargets.admissionOf(target.name)?.setLeaving(target.isLeaving);
    }
    return delayed;
  }

  /** Restarts the takeovers of all targets, for example after a pause. */
  beginAll(nowMs: number): void {
    for (const target of this.#assigned.values()) this.#begin(target, nowMs);
  }

  /**
   * Takes back the dropped targets after a delay, so that two daemons with
   * different views don't immediately take a target from each other.
   */
  retake(nowMs: number): void {
    const dropped = new Set(this.#dependencies.ownedTargets.droppedTargets());
    for (const name of dropped) {
      const retakeAtMs = this.#retakesAtMs.get(name);
      if (retakeAtMs === undefined) {
        this.#retakesAtMs.set(name, nowMs + this.#dependencies.retakeMs);
        continue;
      }
      if (nowMs < retakeAtMs) continue;
      this.#retakesAtMs.delete(name);
      const target = this.#assigned.get(name);
      if (target) this.#begin(target, nowMs);
    }
    for (const name of this.#retakesAtMs.keys()) {
      if (!dropped.has(name)) this.#retakesAtMs.delete(name);
    }
  }

  /** Responds to a daemon that takes over a target. */
  respondToCollect(request: CollectRequest, nowMs: number): CollectResponse {
    const { ownedTargets, holder } = this.#dependencies;
    const response = holder.respondToCollect(request);
    if (response.kind === "newer-epoch") return response;
    const orphanRequests = ownedTargets.orphanRequests(request.target, nowMs);
    ownedTargets.onCollectRequest(request);
    return orphanRequests === 0 ? response : { ...response, orphanRequests };
  }

  #begin(target: OwnedTargetView, nowMs: number): void {
    const { name: self, ownedTargets, holder, sendCollect } =
      this.#dependencies;
    const { name, pool } = target;
    const holders = this.#possibleHolders(nowMs);
    const previous = this.#previousOwner(name, nowMs);
    const request = ownedTargets.takeOwnership(
      name,
      pool,
      holders,
      nowMs,
      previous,
    );
    if (target.isNew) ownedTargets.onTargetStarted(name, nowMs);
    ownedTargets.admissionOf(name)?.setLeaving(target.isLeaving);
    for (const daemon of holders) {
      if (daemon !== self) sendCollect(daemon, request);
    }
    ownedTargets.onCollectResponse(
      self,
      holder.respondToCollect(request),
      nowMs,
    );
  }

  /** The daemons in the view and those with a recent message. */
  #possibleHolders(nowMs: number): ReadonlySet<string> {
    const { peerActivity, viewedHolders } = this.#dependencies;
    const recent = peerActivity.retainRecentPeers(HOLDER_RETENTION_MS, nowMs);
    return new Set([...viewedHolders(), ...recent]);
  }

  #previousOwner(target: string, nowMs: number): PreviousOwner {
    const { holder, peerActivity, maxReportAgeMs } = this.#dependencies;
    const epoch = holder.epochOf(target);
    if (!epoch) return { epochNumber: 0, mayHaveActiveReports: false };
    const sinceMessageMs = nowMs - peerActivity.lastMessageAtMs(epoch.owner);
    const mayHaveActiveReports = sinceMessageMs <= maxReportAgeMs;
    return { epochNumber: epoch.number, mayHaveActiveReports };
  }
}
