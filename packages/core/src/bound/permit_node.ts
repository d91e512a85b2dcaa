import type { LateAnswer } from "./permit_request_queue.ts";
import { PeerActivity } from "./peer_activity.ts";
import { type OwnedPool, OwnedTargets } from "./owned_targets.ts";
import { longestWaitMs, type PermitResponse } from "./permit.ts";
import type { PermitExtras } from "./permit_codec.ts";
import { PermitHolder } from "./permit_holder.ts";
import type { PermitMessage } from "./permit_message.ts";
import {
  DEFAULT_PERMIT_NODE_OPTIONS,
  type PermitNodeOptions,
  type PermitNodeParts,
  type PermitRequestOptions,
  type PermitRequestOutcome,
} from "./permit_node_parts.ts";
import { PermitOutbox } from "./permit_outbox.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";
import { type OwnedTargetView, Takeovers } from "./takeovers.ts";
import type { TargetReport } from "./target_ledger.ts";

interface PendingPermitRequest {
  readonly owner: string;
  readonly onOutcome: (outcome: PermitRequestOutcome) => void;
}

/**
 * The part of one daemon that asks for permits and keeps targets: messages and
 * turns of the timer go in, messages come out.
 */
export class PermitNode {
  readonly #parts: PermitNodeParts;
  readonly #options: PermitNodeOptions;
  readonly #book: OwnedTargets;
  readonly #holder = new PermitHolder();
  readonly #outbox: PermitOutbox;
  readonly #pending = new Map<number, PendingPermitRequest>();
  readonly #plannedFlushes = new Set<string>();
  readonly #heard = new PeerActivity();
  readonly #takeovers: Takeovers;
  #poolNames: readonly string[] = [];
  #couldOwn = false;

  constructor(parts: PermitNodeParts) {
    this.#parts = parts;
    this.#options = parts.options ?? DEFAULT_PERMIT_NODE_OPTIONS;
    this.#book = new OwnedTargets(parts.name, this.#options.book);
    this.#outbox = new PermitOutbox(
      this.#options.reportPeriodMs,
      (nowMs) => this.ownReports(nowMs),
    );
    this.#takeovers = new Takeovers({
      name: parts.name,
      book: this.#book,
      holder: this.#holder,
      heard: this.#heard,
      viewedHolders: () => parts.view.holders(),
      sendCollect: (to, request) =>
        parts.send(to, { kind: "collect", request }),
      maxReportAgeMs: this.#options.book.poolMean.maxReportAgeMs,
      retakeMs: this.#options.retakeMs,
    });
  }

  /** The targets kept here and their ledgers, for dumps. */
  get book(): OwnedTargets {
    return this.#book;
  }

  /** Sets the rules and sizes of the pools. */
  setPools(pools: readonly OwnedPool[]): void {
    for (const pool of pools) this.#book.setPool(pool);
    this.#poolNames = pools.map((pool) => pool.name);
  }

  /** Sets the targets that fall to this daemon; new ones are taken over. */
  setOwned(targets: readonly OwnedTargetView[]): void {
    this.#sendLateAnswers(this.#takeovers.setOwned(targets, this.#nowMs));
  }

  /**
   * Asks for the first of `targets`, best first, that has a place. One ask
   * names every target that has the same keeper. `waitMs` is how long the first
   * target is worth a wait.
   */
  askAny(
    targets: readonly string[],
    waitMs: number,
    onOutcome: (outcome: PermitRequestOutcome) => void,
  ): void {
    const [first, ...others] = targets;
    if (first === undefined) return onOutcome("no-keeper");
    const { ownerOf: ownerOf } = this.#parts.view;
    const owner = ownerOf(first);
    const alternatives = others.filter((name) => ownerOf(name) === owner);
    const rest = others.filter((name) => ownerOf(name) !== owner);
    const parts = waitMs > 0 ? { waitMs, alternatives } : { alternatives };
    this.ask(first, parts, (outcome) => {
      const isLast = typeof outcome !== "string" || rest.length === 0;
      if (isLast) return onOutcome(outcome);
      this.askAny(rest, 0, onOutcome);
    });
  }

  /** Asks the keeper of a target for a place. */
  ask(
    target: string,
    parts: PermitRequestOptions,
    onOutcome: (outcome: PermitRequestOutcome) => void,
  ): void {
    const owner = this.#parts.view.ownerOf(target);
    if (owner === undefined) return onOutcome("no-keeper");
    if (this.#heard.isSilent(owner, this.#nowMs)) return onOutcome("timeout");
    const permitId = this.#holder.createPermitRequest(
      target,
      owner,
      this.#nowMs,
    );
    const ask = { permitId: permitId, target, ...parts };
    this.#pending.set(permitId, { owner: owner, onOutcome });
    if (owner === this.#parts.name) {
      const answer = this.#answer(owner, ask);
      if (answer) this.#takeAnswer(answer);
      return;
    }
    const extras = this.#outbox.take(owner, this.#nowMs);
    this.#parts.send(owner, { kind: "ask", ask, extras });
    const timeoutMs = this.#options.askTimeoutMs + longestWaitMs(ask);
    this.#parts.timer.after(timeoutMs, () => this.#timeOut(permitId));
  }

  /** A keeper that did not answer is not asked again for a while. */
  #timeOut(permitId: number): void {
    const owner = this.#pending.get(permitId)?.owner;
    if (owner !== undefined) this.#heard.noteSilent(owner, this.#nowMs);
    this.giveUp(permitId);
  }

  /** Ends an ask that has no answer; the keeper may have granted it. */
  giveUp(permitId: number): void {
    const pending = this.#pending.get(permitId);
    if (!pending) return;
    this.#pending.delete(permitId);
    this.#end(permitId);
    pending.onOutcome("timeout");
  }

  /** Takes a message of another daemon. */
  receive(from: string, message: PermitMessage): void {
    const nowMs = this.#nowMs;
    this.#heard.noteHeard(from, nowMs);
    if ("extras" in message) this.#takeExtras(from, message.extras);
    if (message.kind === "ask") {
      const answer = this.#answer(from, message.ask);
      if (answer) this.#sendAnswer(from, answer);
      return this.#answerLate();
    }
    if (message.kind === "answer") return this.#takeAnswer(message.answer);
    if (message.kind === "returns") return this.#answerLate();
    if (message.kind === "collect") {
      const answer = this.#takeovers.answerCollect(message.request, nowMs);
      return this.#parts.send(from, { kind: "collected", answer });
    }
    if (message.kind === "adopt") {
      return this.#book.adopt(from, message.target, message.permitIds, nowMs);
    }
    this.#book.noteCollectAnswer(from, message.answer, nowMs);
  }

  /**
   * The connection of a peer is lost or given up. In a small fleet, where it
   * may have held much of the load, the keepers tell each other anew.
   */
  peerLost(peer: string): void {
    this.#book.noteHolderGone(peer, this.#nowMs);
    this.#book.forgetOwner(peer);
    this.#outbox.drop(peer);
    this.#heard.noteSilent(peer, this.#nowMs);
    for (const [permitId, pending] of [...this.#pending]) {
      if (pending.owner === peer) this.giveUp(permitId);
    }
    if (this.#options.loneReportMs === 0) return;
    this.#book.forgetPoolLoads();
    for (const owner of this.#parts.view.otherOwners()) {
      if (owner !== peer) this.#sendReturns(owner, true);
    }
  }

  /** A connection to a peer was made anew: it must know what runs. */
  peerBack(peer: string, targets: Iterable<string>): void {
    for (const target of targets) {
      if (this.#parts.view.ownerOf(target) !== peer) continue;
      this.#tellReplaced(peer, target);
      const permitIds = this.#holder.startedPermitIds(target);
      if (permitIds.length === 0) continue;
      this.#parts.send(peer, { kind: "adopt", target, permitIds: permitIds });
    }
  }

  /** Takes a target's own count. */
  noteTargetReport(target: string, report: TargetReport): void {
    const isHeard = (holder: string) =>
      holder === this.#parts.name ||
      this.#heard.heardAtMs(holder) >= report.measuredAtMs;
    this.#book.noteTargetReport(target, report, this.#nowMs, isHeard);
  }

  /** Loads of the targets kept here, by pool. */
  ownReports(nowMs: number): readonly PoolLoadReport[] {
    return this.#poolNames.map((pool) => this.#book.ownReport(pool, nowMs))
      .filter((report) => report.loadsRequests.length > 0);
  }

  /** Turns the timer. Call it every few tens of ms. */
  tick(): void {
    const nowMs = this.#nowMs;
    const wasAwake = this.#book.noteAlive(nowMs);
    const mayOwn = this.#parts.view.mayOwn();
    if (mayOwn && (!wasAwake || !this.#couldOwn)) {
      this.#takeovers.beginAll(nowMs);
    }
    this.#couldOwn = mayOwn;
    if (mayOwn) this.#takeovers.retake(nowMs);
    this.#book.advance(nowMs);
    this.#sendLoneReports(nowMs);
    this.#answerLate();
  }

  get #nowMs(): number {
    return this.#parts.timer.nowMs();
  }

  #answer(
    holder: string,
    ask: Parameters<OwnedTargets["answer"]>[1],
  ): PermitResponse | undefined {
    if (this.#couldOwn && this.#parts.view.mayOwn()) {
      return this.#book.answer(holder, ask, this.#nowMs);
    }
    return { kind: "refused", permitId: ask.permitId, reason: "not-ready" };
  }

  #takeAnswer(answer: PermitResponse): void {
    const { permitId: permitId } = answer;
    const pending = this.#pending.get(permitId);
    if (!pending) return this.#handBack(answer);
    this.#pending.delete(permitId);
    if (answer.kind === "refused") {
      this.#holder.noteRefusal(permitId);
      return pending.onOutcome(answer.reason);
    }
    const verdict = this.#holder.noteGrant(answer, this.#nowMs);
    this.#sendAdoptions(answer.epoch.owner);
    if (verdict !== "usable") {
      if (verdict === "stale-epoch") {
        this.#tellNewerEpoch(pending.owner, answer.target);
      }
      this.#queueReturns();
      return pending.onOutcome("timeout");
    }
    pending.onOutcome({
      target: answer.target,
      start: () => this.#start(permitId),
      end: () => this.#end(permitId),
    });
  }

  /** A grant that comes after its ask was given up must not stay counted. */
  #handBack(answer: PermitResponse): void {
    if (answer.kind === "refused") return;
    const { owner: owner } = answer.epoch;
    this.#outbox.addReturn(owner, answer.permitId);
    this.#planFlush(owner);
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
    for (const adoption of this.#holder.takeAdoptions()) {
      if (owner === this.#parts.name) {
        const { target, permitIds: permitIds } = adoption;
        this.#book.adopt(owner, target, permitIds, this.#nowMs);
        continue;
      }
      this.#parts.send(owner, { kind: "adopt", ...adoption });
    }
  }

  /** A keeper that others do not know yet may have been replaced unawares. */
  #tellReplaced(peer: string, target: string): void {
    const epoch = this.#holder.epochOf(target);
    if (!epoch || epoch.owner === peer) return;
    const answer = { kind: "newer-epoch", target, epoch } as const;
    this.#parts.send(peer, { kind: "collected", answer });
  }

  /** Tells a keeper that it was replaced. */
  #tellNewerEpoch(owner: string, target: string): void {
    const epoch = this.#holder.epochOf(target);
    if (!epoch) return;
    const answer = { kind: "newer-epoch", target, epoch } as const;
    if (owner !== this.#parts.name) {
      return this.#parts.send(owner, { kind: "collected", answer });
    }
    this.#book.noteCollectAnswer(owner, answer, this.#nowMs);
  }

  #sendAnswer(holder: string, answer: PermitResponse): void {
    if (holder === this.#parts.name) return this.#takeAnswer(answer);
    const extras = this.#outbox.take(holder, this.#nowMs);
    this.#parts.send(holder, { kind: "answer", answer, extras });
  }

  #answerLate(): void {
    this.#sendLateAnswers(this.#book.takeLateAnswers(this.#nowMs));
  }

  #sendLateAnswers(late: readonly LateAnswer[]): void {
    for (const { holder, answer } of late) this.#sendAnswer(holder, answer);
  }

  #takeExtras(from: string, extras: PermitExtras): void {
    const nowMs = this.#nowMs;
    for (const report of extras.reports) {
      this.#book.notePoolReport(from, report, nowMs);
    }
    for (const permitId of extras.returns) {
      this.#book.release(from, permitId, nowMs);
    }
  }

  #queueReturns(): void {
    const own = this.#parts.name;
    let hasOwn = false;
    for (
      const { owner: owner, permitId: permitId } of this.#holder.takeReturns()
    ) {
      if (owner === own) {
        this.#book.release(own, permitId, this.#nowMs);
        hasOwn = true;
        continue;
      }
      this.#outbox.addReturn(owner, permitId);
      this.#planFlush(owner);
    }
    if (hasOwn) this.#answerLate();
  }

  #planFlush(peer: string): void {
    if (this.#plannedFlushes.has(peer)) return;
    this.#plannedFlushes.add(peer);
    this.#parts.timer.after(this.#options.returnBatchMs, () => {
      this.#plannedFlushes.delete(peer);
      if (this.#outbox.hasReturns(peer)) this.#sendReturns(peer);
    });
  }

  #sendReturns(peer: string, withReport = false): void {
    const extras = this.#outbox.take(peer, this.#nowMs, withReport);
    if (extras.returns.length + extras.reports.length === 0) return;
    this.#parts.send(peer, { kind: "returns", extras });
  }

  #sendLoneReports(nowMs: number): void {
    const { loneReportMs } = this.#options;
    if (loneReportMs === 0 || this.#book.ownedTargets().length === 0) return;
    for (const peer of this.#parts.view.otherOwners()) {
      const ageMs = this.#outbox.reportAgeMs(peer, nowMs);
      if (ageMs >= loneReportMs) this.#sendReturns(peer);
    }
  }
}
