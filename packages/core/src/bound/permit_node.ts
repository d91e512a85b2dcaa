import type { LateAnswer } from "./ask_queue.ts";
import { HeardPeers } from "./heard_peers.ts";
import { KeeperBook, type KeptPool } from "./keeper_book.ts";
import { longestWaitMs, type PermitAnswer } from "./permit.ts";
import type { PermitExtras } from "./permit_codec.ts";
import { PermitHolder } from "./permit_holder.ts";
import type { PermitMessage } from "./permit_message.ts";
import {
  type AskOutcome,
  type AskParts,
  DEFAULT_PERMIT_NODE_OPTIONS,
  type PermitNodeOptions,
  type PermitNodeParts,
} from "./permit_node_parts.ts";
import { PermitOutbox } from "./permit_outbox.ts";
import type { PoolLoadReport } from "./pool_mean_estimate.ts";
import { type KeptTargetView, TakeOvers } from "./take_overs.ts";
import type { TargetReport } from "./target_ledger.ts";

interface PendingAsk {
  readonly keeper: string;
  readonly onOutcome: (outcome: AskOutcome) => void;
}

/**
 * The part of one daemon that asks for permits and keeps targets: messages and
 * turns of the timer go in, messages come out.
 */
export class PermitNode {
  readonly #parts: PermitNodeParts;
  readonly #options: PermitNodeOptions;
  readonly #book: KeeperBook;
  readonly #holder = new PermitHolder();
  readonly #outbox: PermitOutbox;
  readonly #pending = new Map<number, PendingAsk>();
  readonly #plannedFlushes = new Set<string>();
  readonly #heard = new HeardPeers();
  readonly #takeOvers: TakeOvers;
  #poolNames: readonly string[] = [];
  #couldKeep = false;

  constructor(parts: PermitNodeParts) {
    this.#parts = parts;
    this.#options = parts.options ?? DEFAULT_PERMIT_NODE_OPTIONS;
    this.#book = new KeeperBook(parts.name, this.#options.book);
    this.#outbox = new PermitOutbox(
      this.#options.reportPeriodMs,
      (nowMs) => this.ownReports(nowMs),
    );
    this.#takeOvers = new TakeOvers({
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
  get book(): KeeperBook {
    return this.#book;
  }

  /** Sets the rules and sizes of the pools. */
  setPools(pools: readonly KeptPool[]): void {
    for (const pool of pools) this.#book.setPool(pool);
    this.#poolNames = pools.map((pool) => pool.name);
  }

  /** Sets the targets that fall to this daemon; new ones are taken over. */
  setKept(targets: readonly KeptTargetView[]): void {
    this.#sendLateAnswers(this.#takeOvers.setKept(targets, this.#nowMs));
  }

  /**
   * Asks for the first of `targets`, best first, that has a place. One ask
   * names every target that has the same keeper. `waitMs` is how long the first
   * target is worth a wait.
   */
  askAny(
    targets: readonly string[],
    waitMs: number,
    onOutcome: (outcome: AskOutcome) => void,
  ): void {
    const [first, ...others] = targets;
    if (first === undefined) return onOutcome("no-keeper");
    const { keeperOf } = this.#parts.view;
    const keeper = keeperOf(first);
    const alternatives = others.filter((name) => keeperOf(name) === keeper);
    const rest = others.filter((name) => keeperOf(name) !== keeper);
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
    parts: AskParts,
    onOutcome: (outcome: AskOutcome) => void,
  ): void {
    const keeper = this.#parts.view.keeperOf(target);
    if (keeper === undefined) return onOutcome("no-keeper");
    if (this.#heard.isSilent(keeper, this.#nowMs)) return onOutcome("timeout");
    const askId = this.#holder.createAsk(target, keeper, this.#nowMs);
    const ask = { askId, target, ...parts };
    this.#pending.set(askId, { keeper, onOutcome });
    if (keeper === this.#parts.name) {
      const answer = this.#answer(keeper, ask);
      if (answer) this.#takeAnswer(answer);
      return;
    }
    const extras = this.#outbox.take(keeper, this.#nowMs);
    this.#parts.send(keeper, { kind: "ask", ask, extras });
    const timeoutMs = this.#options.askTimeoutMs + longestWaitMs(ask);
    this.#parts.timer.after(timeoutMs, () => this.#timeOut(askId));
  }

  /** A keeper that did not answer is not asked again for a while. */
  #timeOut(askId: number): void {
    const keeper = this.#pending.get(askId)?.keeper;
    if (keeper !== undefined) this.#heard.noteSilent(keeper, this.#nowMs);
    this.giveUp(askId);
  }

  /** Ends an ask that has no answer; the keeper may have granted it. */
  giveUp(askId: number): void {
    const pending = this.#pending.get(askId);
    if (!pending) return;
    this.#pending.delete(askId);
    this.#end(askId);
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
      const answer = this.#takeOvers.answerCollect(message.request, nowMs);
      return this.#parts.send(from, { kind: "collected", answer });
    }
    if (message.kind === "adopt") {
      return this.#book.adopt(from, message.target, message.askIds, nowMs);
    }
    this.#book.noteCollectAnswer(from, message.answer, nowMs);
  }

  /**
   * The connection of a peer is lost or given up. In a small fleet, where it
   * may have held much of the load, the keepers tell each other anew.
   */
  peerLost(peer: string): void {
    this.#book.noteHolderGone(peer, this.#nowMs);
    this.#book.forgetKeeper(peer);
    this.#outbox.drop(peer);
    this.#heard.noteSilent(peer, this.#nowMs);
    for (const [askId, pending] of [...this.#pending]) {
      if (pending.keeper === peer) this.giveUp(askId);
    }
    if (this.#options.loneReportMs === 0) return;
    this.#book.forgetPoolLoads();
    for (const keeper of this.#parts.view.otherKeepers()) {
      if (keeper !== peer) this.#sendReturns(keeper, true);
    }
  }

  /** A connection to a peer was made anew: it must know what runs. */
  peerBack(peer: string, targets: Iterable<string>): void {
    for (const target of targets) {
      if (this.#parts.view.keeperOf(target) !== peer) continue;
      this.#tellReplaced(peer, target);
      const askIds = this.#holder.startedAskIds(target);
      if (askIds.length === 0) continue;
      this.#parts.send(peer, { kind: "adopt", target, askIds });
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
    const mayKeep = this.#parts.view.mayKeep();
    if (mayKeep && (!wasAwake || !this.#couldKeep)) {
      this.#takeOvers.beginAll(nowMs);
    }
    this.#couldKeep = mayKeep;
    if (mayKeep) this.#takeOvers.retake(nowMs);
    this.#book.advance(nowMs);
    this.#sendLoneReports(nowMs);
    this.#answerLate();
  }

  get #nowMs(): number {
    return this.#parts.timer.nowMs();
  }

  #answer(
    holder: string,
    ask: Parameters<KeeperBook["answer"]>[1],
  ): PermitAnswer | undefined {
    if (this.#couldKeep && this.#parts.view.mayKeep()) {
      return this.#book.answer(holder, ask, this.#nowMs);
    }
    return { kind: "refused", askId: ask.askId, reason: "not-ready" };
  }

  #takeAnswer(answer: PermitAnswer): void {
    const { askId } = answer;
    const pending = this.#pending.get(askId);
    if (!pending) return this.#handBack(answer);
    this.#pending.delete(askId);
    if (answer.kind === "refused") {
      this.#holder.noteRefusal(askId);
      return pending.onOutcome(answer.reason);
    }
    const verdict = this.#holder.noteGrant(answer, this.#nowMs);
    this.#sendAdoptions(answer.epoch.keeper);
    if (verdict !== "usable") {
      if (verdict === "stale-epoch") {
        this.#tellNewerEpoch(pending.keeper, answer.target);
      }
      this.#queueReturns();
      return pending.onOutcome("timeout");
    }
    pending.onOutcome({
      target: answer.target,
      start: () => this.#start(askId),
      end: () => this.#end(askId),
    });
  }

  /** A grant that comes after its ask was given up must not stay counted. */
  #handBack(answer: PermitAnswer): void {
    if (answer.kind === "refused") return;
    const { keeper } = answer.epoch;
    this.#outbox.addReturn(keeper, answer.askId);
    this.#planFlush(keeper);
  }

  #start(askId: number): boolean {
    const mayStart = this.#holder.start(askId, this.#nowMs);
    if (!mayStart) this.#queueReturns();
    return mayStart;
  }

  #end(askId: number): void {
    this.#holder.end(askId);
    this.#queueReturns();
  }

  #sendAdoptions(keeper: string): void {
    for (const adoption of this.#holder.takeAdoptions()) {
      if (keeper === this.#parts.name) {
        const { target, askIds } = adoption;
        this.#book.adopt(keeper, target, askIds, this.#nowMs);
        continue;
      }
      this.#parts.send(keeper, { kind: "adopt", ...adoption });
    }
  }

  /** A keeper that others do not know yet may have been replaced unawares. */
  #tellReplaced(peer: string, target: string): void {
    const epoch = this.#holder.epochOf(target);
    if (!epoch || epoch.keeper === peer) return;
    const answer = { kind: "newer-epoch", target, epoch } as const;
    this.#parts.send(peer, { kind: "collected", answer });
  }

  /** Tells a keeper that it was replaced. */
  #tellNewerEpoch(keeper: string, target: string): void {
    const epoch = this.#holder.epochOf(target);
    if (!epoch) return;
    const answer = { kind: "newer-epoch", target, epoch } as const;
    if (keeper !== this.#parts.name) {
      return this.#parts.send(keeper, { kind: "collected", answer });
    }
    this.#book.noteCollectAnswer(keeper, answer, this.#nowMs);
  }

  #sendAnswer(holder: string, answer: PermitAnswer): void {
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
    for (const askId of extras.returns) this.#book.release(from, askId, nowMs);
  }

  #queueReturns(): void {
    const own = this.#parts.name;
    let hasOwn = false;
    for (const { keeper, askId } of this.#holder.takeReturns()) {
      if (keeper === own) {
        this.#book.release(own, askId, this.#nowMs);
        hasOwn = true;
        continue;
      }
      this.#outbox.addReturn(keeper, askId);
      this.#planFlush(keeper);
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
    if (loneReportMs === 0 || this.#book.keptTargets().length === 0) return;
    for (const peer of this.#parts.view.otherKeepers()) {
      const ageMs = this.#outbox.reportAgeMs(peer, nowMs);
      if (ageMs >= loneReportMs) this.#sendReturns(peer);
    }
  }
}
