import type { DelayedResponse } from "./permit_request_queue.ts";
import { PeerActivity } from "./peer_activity.ts";
import { type OwnedPool, OwnedTargets } from "./owned_targets.ts";
import { longestWaitMs, type PermitResponse } from "./permit.ts";
import type { PermitExtras } from "./permit_codec.ts";
import { PermitHolder } from "./permit_holder.ts";
import type { PermitMessage } from "./permit_message.ts";
import {
  DEFAULT_PERMIT_NODE_OPTIONS,
  type PermitNodeDependencies,
  type PermitNodeOptions,
  type PermitRequestOptions,
  type PermitRequestOutcome,
} from "./permit_node_types.ts";
import { PermitOutbox } from "./permit_outbox.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";
import { type OwnedTargetView, Takeovers } from "./takeovers.ts";
import type { TargetReport } from "./target_ledger.ts";

interface PendingPermitRequest {
  readonly owner: string;
  readonly onOutcome: (outcome: PermitRequestOutcome) => void;
}

/**
 * Permit protocol of one daemon, as the holder of permits and as the owner of
 * targets. The inputs are messages and timer ticks; the outputs are messages.
 */
export class PermitNode {
  readonly #dependencies: PermitNodeDependencies;
  readonly #options: PermitNodeOptions;
  readonly #owned: OwnedTargets;
  readonly #holder = new PermitHolder();
  readonly #outbox: PermitOutbox;
  readonly #pending = new Map<number, PendingPermitRequest>();
  readonly #scheduledFlushes = new Set<string>();
  readonly #peers = new PeerActivity();
  readonly #takeovers: Takeovers;
  #poolNames: readonly string[] = [];
  #couldOwnAtLastTick = false;

  constructor(dependencies: PermitNodeDependencies) {
    this.#dependencies = dependencies;
    this.#options = dependencies.options ?? DEFAULT_PERMIT_NODE_OPTIONS;
    this.#owned = new OwnedTargets(
      dependencies.name,
      this.#options.ownedTargets,
    );
    this.#outbox = new PermitOutbox(
      this.#options.reportPeriodMs,
      (nowMs) => this.ownReports(nowMs),
    );
    this.#takeovers = new Takeovers({
      name: dependencies.name,
      ownedTargets: this.#owned,
      holder: this.#holder,
      peerActivity: this.#peers,
      viewedHolders: () => dependencies.view.holders(),
      sendCollect: (to, request) =>
        dependencies.send(to, { kind: "collect", request }),
      maxReportAgeMs: this.#options.ownedTargets.poolMean.maxReportAgeMs,
      retakeMs: this.#options.retakeMs,
    });
  }

  /** The targets owned by this daemon, for dumps. */
  get ownedTargets(): OwnedTargets {
    return this.#owned;
  }

  /** Sets the limits and sizes of the pools. */
  setPools(pools: readonly OwnedPool[]): void {
    for (const pool of pools) this.#owned.setPool(pool);
    this.#poolNames = pools.map((pool) => pool.name);
  }

  /** Sets the targets assigned to this daemon; takes over the new ones. */
  setOwned(targets: readonly OwnedTargetView[]): void {
    this.#sendDelayed(this.#takeovers.setOwned(targets, this.#nowMs));
  }

  /**
   * Requests a permit for the first of `targets` that has capacity, in order of
   * preference. One request covers all targets with the same owner. `waitMs` is
   * the time that the request may queue for the first target.
   */
  requestAnyPermit(
    targets: readonly string[],
    waitMs: number,
    onOutcome: (outcome: PermitRequestOutcome) => void,
  ): void {
    const [first, ...others] = targets;
    if (first === undefined) return onOutcome("no-keeper");
    const { ownerOf } = this.#dependencies.view;
    const owner = ownerOf(first);
    const alternatives = others.filter((name) => ownerOf(name) === owner);
    const rest = others.filter((name) => ownerOf(name) !== owner);
    const options = waitMs > 0 ? { waitMs, alternatives } : { alternatives };
    this.requestPermit(first, options, (outcome) => {
      const isLast = typeof outcome !== "string" || rest.length === 0;
      if (isLast) return onOutcome(outcome);
      this.requestAnyPermit(rest, 0, onOutcome);
    });
  }

  /** Requests a permit from the owner of a target. */
  requestPermit(
    target: string,
    options: PermitRequestOptions,
    onOutcome: (outcome: PermitRequestOutcome) => void,
  ): void {
    const owner = this.#dependencies.view.ownerOf(target);
    if (owner === undefined) return onOutcome("no-keeper");
    if (this.#peers.isUnresponsive(owner, this.#nowMs)) {
      return onOutcome("timeout");
    }
    const permitId = this.#holder.createPermitRequest(
      target,
      owner,
      this.#nowMs,
    );
    const request = { permitId, target, ...options };
    this.#pending.set(permitId, { owner, onOutcome });
    if (owner === this.#dependencies.name) {
      const response = this.#handleRequest(owner, request);
      if (response) this.#onResponse(response);
      return;
    }
    const extras = this.#outbox.drainExtras(owner, this.#nowMs);
    this.#dependencies.send(owner, { kind: "ask", request, extras });
    const timeoutMs = this.#options.requestTimeoutMs + longestWaitMs(request);
    this.#dependencies.timer.after(timeoutMs, () => this.#onTimeout(permitId));
  }

  /** Marks an owner that did not respond as unresponsive for a while. */
  #onTimeout(permitId: number): void {
    const owner = this.#pending.get(permitId)?.owner;
    if (owner !== undefined) this.#peers.markUnresponsive(owner, this.#nowMs);
    this.giveUp(permitId);
  }

  /** Ends a request without a response; the owner may have granted it. */
  giveUp(permitId: number): void {
    const pending = this.#pending.get(permitId);
    if (!pending) return;
    this.#pending.delete(permitId);
    this.#end(permitId);
    pending.onOutcome("timeout");
  }

  /** Handles a message from another daemon. */
  receive(from: string, message: PermitMessage): void {
    const nowMs = this.#nowMs;
    this.#peers.recordMessage(from, nowMs);
    if ("extras" in message) this.#applyExtras(from, message.extras);
    if (message.kind === "ask") {
      const response = this.#handleRequest(from, message.request);
      if (response) this.#respond(from, response);
      return this.#resolveQueued();
    }
    if (message.kind === "answer") return this.#onResponse(message.response);
    if (message.kind === "returns") return this.#resolveQueued();
    if (message.kind === "collect") {
      const response = this.#takeovers.respondToCollect(message.request, nowMs);
      return this.#dependencies.send(from, { kind: "collected", response });
    }
    if (message.kind === "adopt") {
      return this.#owned.adopt(from, message.target, message.permitIds, nowMs);
    }
    this.#owned.onCollectResponse(from, message.response, nowMs);
  }

  /**
   * Handles a peer whose connection was lost or given up. In a small fleet the
   * peer may have held much of the load, so the owners exchange new reports.
   */
  onPeerLost(peer: string): void {
    this.#owned.onHolderGone(peer, this.#nowMs);
    this.#owned.dropOwnerReports(peer);
    this.#outbox.drop(peer);
    this.#peers.markUnresponsive(peer, this.#nowMs);
    for (const [permitId, pending] of [...this.#pending]) {
      if (pending.owner === peer) this.giveUp(permitId);
    }
    if (this.#options.standaloneReportMs === 0) return;
    this.#owned.resetPoolLoads();
    for (const owner of this.#dependencies.view.otherOwners()) {
      if (owner !== peer) this.#sendReturns(owner, true);
    }
  }

  /** Reports the running requests to a peer that reconnected. */
  onPeerReconnected(peer: string, targets: Iterable<string>): void {
    for (const target of targets) {
      if (this.#dependencies.view.ownerOf(target) !== peer) continue;
      this.#reportReplacement(peer, target);
      const permitIds = this.#holder.startedPermitIds(target);
      if (permitIds.length === 0) continue;
      this.#dependencies.send(peer, { kind: "adopt", target, permitIds });
    }
  }

  /** Applies a target's report of its own load. */
  onTargetReport(target: string, report: TargetReport): void {
    const hasMessageSince = (holder: string) =>
      holder === this.#dependencies.name ||
      this.#peers.lastMessageAtMs(holder) >= report.measuredAtMs;
    this.#owned.onTargetReport(target, report, this.#nowMs, hasMessageSince);
  }

  /** Loads of the targets owned by this daemon, by pool. */
  ownReports(nowMs: number): readonly PoolLoadReport[] {
    return this.#poolNames.map((pool) => this.#owned.ownReport(pool, nowMs))
      .filter((report) => report.loadsRequests.length > 0);
  }

  /** Runs the periodic work. Call it every few tens of ms. */
  tick(): void {
    const nowMs = this.#nowMs;
    const wasActive = this.#owned.recordActivity(nowMs);
    const mayOwn = this.#dependencies.view.mayOwn();
    if (mayOwn && (!wasActive || !this.#couldOwnAtLastTick)) {
      this.#takeovers.beginAll(nowMs);
    }
    this.#couldOwnAtLastTick = mayOwn;
    if (mayOwn) this.#takeovers.retake(nowMs);
    this.#owned.advance(nowMs);
    this.#sendStandaloneReports(nowMs);
    this.#resolveQueued();
  }

  get #nowMs(): number {
    return this.#dependencies.timer.nowMs();
  }

  #handleRequest(
    holder: string,
    request: Parameters<OwnedTargets["handleRequest"]>[1],
  ): PermitResponse | undefined {
    if (this.#couldOwnAtLastTick && this.#dependencies.view.mayOwn()) {
      return this.#owned.handleRequest(holder, request, this.#nowMs);
    }
    return { kind: "refused", permitId: request.permitId, reason: "not-ready" };
  }

  #onResponse(response: PermitResponse): void {
    const { permitId } = response;
    const pending = this.#pending.get(permitId);
    if (!pending) return this.#returnLateGrant(response);
    this.#pending.delete(permitId);
    if (response.kind === "refused") {
      this.#holder.receiveRejection(permitId);
      return pending.onOutcome(response.reason);
    }
    const check = this.#holder.receiveGrant(response, this.#nowMs);
    this.#sendAdoptions(response.epoch.owner);
    if (check !== "usable") {
      if (check === "stale-epoch") {
        this.#reportNewerEpoch(pending.owner, response.target);
      }
      this.#queueReturns();
      return pending.onOutcome("timeout");
    }
    pending.onOutcome({
      target: response.target,
      start: () => this.#start(permitId),
      end: () => this.#end(permitId),
    });
  }

  /** Returns a grant that arrived after its request was given up. */
  #returnLateGrant(response: PermitResponse): void {
    if (response.kind === "refused") return;
    const { owner } = response.epoch;
    this.#outbox.addReturn(owner, response.permitId);
    this.#scheduleFlush(owner);
  }

  #start(permitId: number): boolean {
    const mayStart = this.#holder.start(permitId, this.#nowMs);
    if (!mayStart) this.#queueReturns();
    return mayStart;
  }

  #end(permitId: number): void {
    this.#holder.end(permitId);
    this.#queueReturns();
  }

  #sendAdoptions(owner: string): void {
    for (const adoption of this.#holder.drainAdoptions()) {
      if (owner === this.#dependencies.name) {
        const { target, permitIds } = adoption;
        this.#owned.adopt(owner, target, permitIds, this.#nowMs);
        continue;
      }
      this.#dependencies.send(owner, { kind: "adopt", ...adoption });
    }
  }

  /** Sends the newer epoch to a peer that may have missed its replacement. */
  #reportReplacement(peer: string, target: string): void {
    const epoch = this.#holder.epochOf(target);
    if (!epoch || epoch.owner === peer) return;
    const response = { kind: "newer-epoch", target, epoch } as const;
    this.#dependencies.send(peer, { kind: "collected", response });
  }

  /** Sends the target's newer epoch to an owner that was replaced. */
  #reportNewerEpoch(owner: string, target: string): void {
    const epoch = this.#holder.epochOf(target);
    if (!epoch) return;
    const response = { kind: "newer-epoch", target, epoch } as const;
    if (owner !== this.#dependencies.name) {
      return this.#dependencies.send(owner, { kind: "collected", response });
    }
    this.#owned.onCollectResponse(owner, response, this.#nowMs);
  }

  #respond(holder: string, response: PermitResponse): void {
    if (holder === this.#dependencies.name) return this.#onResponse(response);
    const extras = this.#outbox.drainExtras(holder, this.#nowMs);
    this.#dependencies.send(holder, { kind: "answer", response, extras });
  }

  #resolveQueued(): void {
    this.#sendDelayed(this.#owned.resolveQueuedRequests(this.#nowMs));
  }

  #sendDelayed(delayed: readonly DelayedResponse[]): void {
    for (const { holder, response } of delayed) this.#respond(holder, response);
  }

  #applyExtras(from: string, extras: PermitExtras): void {
    const nowMs = this.#nowMs;
    for (const report of extras.reports) {
      this.#owned.onPoolReport(from, report, nowMs);
    }
    for (const permitId of extras.returns) {
      this.#owned.release(from, permitId, nowMs);
    }
  }

  #queueReturns(): void {
    const self = this.#dependencies.name;
    let hasOwnReturns = false;
    for (const { owner, permitId } of this.#holder.drainReturns()) {
      if (owner === self) {
        this.#owned.release(self, permitId, this.#nowMs);
        hasOwnReturns = true;
        continue;
      }
      this.#outbox.addReturn(owner, permitId);
      this.#scheduleFlush(owner);
    }
    if (hasOwnReturns) this.#resolveQueued();
  }

  #scheduleFlush(peer: string): void {
    if (this.#scheduledFlushes.has(peer)) return;
    this.#scheduledFlushes.add(peer);
    this.#dependencies.timer.after(this.#options.returnBatchMs, () => {
      this.#scheduledFlushes.delete(peer);
      if (this.#outbox.hasReturns(peer)) this.#sendReturns(peer);
    });
  }

  #sendReturns(peer: string, mustReport = false): void {
    const extras = this.#outbox.drainExtras(peer, this.#nowMs, mustReport);
    if (extras.returns.length + extras.reports.length === 0) return;
    this.#dependencies.send(peer, { kind: "returns", extras });
  }

  #sendStandaloneReports(nowMs: number): void {
    const { standaloneReportMs } = this.#options;
    if (standaloneReportMs === 0 || this.#owned.targetNames().length === 0) {
      return;
    }
    for (const peer of this.#dependencies.view.otherOwners()) {
      const ageMs = this.#outbox.reportAgeMs(peer, nowMs);
      if (ageMs >= standaloneReportMs) this.#sendReturns(peer);
    }
  }
}
