import {
  KeeperBook,
  type KeeperBookOptions,
  type LateAnswer,
  type PermitAnswer,
  type PermitExtras,
  PermitHolder,
  pickByRendezvous,
} from "@coltsfootford/core";
import type { GateAnswer } from "./admission_gate.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import type { PermitMessage } from "./permit_messages.ts";
import type { World } from "./world.ts";

/** Name of the one pool of a replay. */
export const POOL = "writers";

/** Settings of the exchange of permits. */
export interface PermitNodeOptions {
  readonly book: KeeperBookOptions;
  /** Returns are gathered for this time unless another message goes first. */
  readonly returnBatchMs: number;
  readonly askTimeoutMs: number;
  /** A report is added to a message if the last one is older. */
  readonly reportPeriodMs: number;
  /** A report is sent alone after this time; zero never sends one alone. */
  readonly loneReportMs: number;
  readonly tickMs: number;
  readonly pollMs: number;
  /** A report from a target was measured at most this long before. */
  readonly maxReportLagMs: number;
}

type Send = (to: string, message: PermitMessage) => void;

interface Outbox {
  returns: number[];
  isFlushPlanned: boolean;
  reportedAtMs: number;
}

interface PendingAsk {
  readonly keeper: string;
  readonly target: string;
  readonly onAnswer: (answer: GateAnswer) => void;
}

/** Age up to which a target counts as just started, in ms. */
const STARTED_AGE_MS = 60_000;
/** Chance per tick to start the take-over of a dropped target again. */
const RESTART_CHANCE = 0.3;

/** The part of one daemon that asks for permits and keeps targets. */
export class PermitNode {
  readonly daemon: FakeDaemon;
  readonly book: KeeperBook;
  readonly #world: World;
  readonly #options: PermitNodeOptions;
  readonly #send: Send;
  readonly #holder = new PermitHolder();
  readonly #pending = new Map<number, PendingAsk>();
  readonly #outboxes = new Map<string, Outbox>();
  readonly #keepers = new Map<string, string | undefined>();
  #viewVersion = -1;
  #nextMessageId = 1;

  constructor(
    daemon: FakeDaemon,
    world: World,
    options: PermitNodeOptions,
    send: Send,
  ) {
    this.daemon = daemon;
    this.#world = world;
    this.#options = options;
    this.#send = send;
    this.book = new KeeperBook(daemon.name, options.book);
  }

  /** Starts the daemon's timers. */
  start(): void {
    this.#repeat(this.#options.tickMs, () => this.tick());
    this.#repeat(this.#options.pollMs, () => this.#pollTargets());
  }

  /** Asks the target's keeper for a place. */
  ask(
    target: string,
    waitMs: number,
    onAnswer: (answer: GateAnswer) => void,
  ): void {
    const keeper = this.keeperOf(target);
    if (!keeper) return onAnswer("no-keeper");
    const askId = this.#holder.createAsk(target, keeper, this.#nowMs);
    const ask = waitMs > 0 ? { askId, target, waitMs } : { askId, target };
    this.#pending.set(askId, { keeper, target, onAnswer });
    if (keeper === this.daemon.name) {
      const answer = this.book.answer(keeper, ask, this.#nowMs);
      if (answer) this.#takeAnswer(answer);
      return;
    }
    const extras = this.#takeExtras(keeper);
    this.#send(keeper, { kind: "ask", ask, extras });
    this.#world.heap.after(
      this.#options.askTimeoutMs + waitMs,
      () => this.daemon.run(() => this.#timeOut(askId)),
    );
  }

  /** The daemon that keeps the target by this daemon's view. */
  keeperOf(target: string): string | undefined {
    this.#refreshKeepers();
    if (this.#keepers.has(target)) return this.#keepers.get(target);
    const zone = this.daemon.view.target(target)?.availabilityZone;
    const daemons = this.daemon.view.daemons();
    const inZone = [...daemons.keys()].filter((name) =>
      daemons.get(name) === zone
    );
    const candidates = inZone.length > 0 ? inZone : [...daemons.keys()];
    const keeper = pickByRendezvous(target, candidates);
    this.#keepers.set(target, keeper);
    return keeper;
  }

  receive(from: string, message: PermitMessage): void {
    const nowMs = this.#nowMs;
    if ("extras" in message) this.#takeExtrasOf(from, message.extras);
    if (message.kind === "ask") {
      const answer = this.book.answer(from, message.ask, nowMs);
      if (answer) this.#sendAnswer(from, answer);
      return this.#sendLateAnswers(this.book.takeLateAnswers(nowMs));
    }
    if (message.kind === "answer") return this.#takeAnswer(message.answer);
    if (message.kind === "returns") {
      return this.#sendLateAnswers(this.book.takeLateAnswers(nowMs));
    }
    if (message.kind === "collect") {
      const answer = this.#holder.answerCollect(message.request);
      if (answer.kind === "collected") {
        this.book.noteCollectRequest(message.request);
      }
      return this.#send(from, { kind: "collected", answer });
    }
    if (message.kind === "adopt") {
      return this.book.adopt(from, message.target, message.askIds, nowMs);
    }
    this.book.noteCollectAnswer(from, message.answer, nowMs);
    this.#noteServing(message.answer.target);
  }

  /** The connection to a peer is lost or given up. */
  peerLost(peer: string): void {
    this.book.noteHolderGone(peer, this.#nowMs);
    this.book.forgetKeeper(peer);
    this.#outboxes.delete(peer);
    for (const [askId, pending] of [...this.#pending]) {
      if (pending.keeper === peer) this.#timeOut(askId);
    }
  }

  /** A connection was made anew: the peer must know what runs. */
  peerBack(peer: string): void {
    for (const target of this.daemon.view.targets()) {
      if (this.keeperOf(target.name) !== peer) continue;
      const askIds = this.#holder.startedAskIds(target.name);
      if (askIds.length === 0) continue;
      this.#send(peer, { kind: "adopt", target: target.name, askIds });
    }
  }

  /** Turns the daemon's timer. */
  tick(): void {
    const nowMs = this.#nowMs;
    this.book.noteAlive(nowMs);
    this.book.advance(nowMs);
    this.#refreshKeepers();
    this.#updateRoles();
    this.#sendLoneReports();
    this.#sendLateAnswers(this.book.takeLateAnswers(nowMs));
    for (const target of this.book.keptTargets()) this.#noteServing(target);
  }

  get #nowMs(): number {
    return this.#world.heap.nowMs;
  }

  #repeat(periodMs: number, action: () => void): void {
    if (!this.daemon.isUp) return;
    this.daemon.run(action);
    this.#world.heap.after(periodMs, () => this.#repeat(periodMs, action));
  }

  #refreshKeepers(): void {
    if (this.#viewVersion === this.daemon.view.version) return;
    this.#viewVersion = this.daemon.view.version;
    this.#keepers.clear();
    this.book.setPool({
      name: POOL,
      loadFactor: this.#world.options.loadFactor,
      maxConcurrentPerTarget: this.#world.options.maxConcurrentPerTarget,
      servingTargets: this.daemon.view.targetCount,
    });
  }

  #updateRoles(): void {
    const kept = new Set(this.book.keptTargets());
    const wanted = this.daemon.view.targets()
      .filter((target) => this.keeperOf(target.name) === this.daemon.name);
    const wantedNames = new Set(wanted.map((target) => target.name));
    for (const target of kept) {
      if (wantedNames.has(target)) continue;
      this.#sendLateAnswers(this.book.stopKeeping(target));
      const engine = this.#world.engine(target);
      if (engine && !this.daemon.view.target(target)) engine.isServing = false;
    }
    for (const target of wantedNames) {
      if (!kept.has(target)) this.#begin(target);
    }
    for (const target of this.book.droppedTargets()) {
      if (!wantedNames.has(target)) continue;
      if (this.#world.random.chance(RESTART_CHANCE)) this.#begin(target);
    }
  }

  #begin(target: string): void {
    const nowMs = this.#nowMs;
    const holders = this.daemon.view.possibleHolders(nowMs);
    const epochNumber = this.#holder.epochOf(target)?.number ?? 0;
    const request = this.book.beginKeeping(
      target,
      POOL,
      holders,
      nowMs,
      epochNumber,
    );
    const startedAtMs = this.daemon.view.target(target)?.startedAtMs;
    const isNew = startedAtMs !== undefined &&
      nowMs - startedAtMs < STARTED_AGE_MS;
    const engine = this.#world.engine(target);
    if (isNew || !engine?.isServing) this.book.noteStarted(target, nowMs);
    this.#sendCollect(target, holders, request);
  }

  #sendCollect(
    target: string,
    holders: readonly string[],
    request: ReturnType<KeeperBook["beginKeeping"]>,
  ): void {
    for (const holder of holders) {
      if (holder !== this.daemon.name) {
        this.#send(holder, { kind: "collect", request });
      }
    }
    const answer = this.#holder.answerCollect(request);
    this.book.noteCollectAnswer(this.daemon.name, answer, this.#nowMs);
    this.#noteServing(target);
  }

  /** A target is in the pool once its keeper grants. */
  #noteServing(target: string): void {
    const engine = this.#world.engine(target);
    if (!engine?.isUp || engine.isServing) return;
    if (this.book.isGranting(target, this.#nowMs)) engine.isServing = true;
  }

  #pollTargets(): void {
    const nowMs = this.#nowMs;
    for (const target of this.book.keptTargets()) {
      const engine = this.#world.engine(target);
      if (!engine?.isUp) continue;
      const zone = engine.availabilityZone;
      if (!this.#world.network.isLinked(this.daemon.availabilityZone, zone)) {
        continue;
      }
      const { loadRequests } = engine.lastReport();
      const measuredAtMs = nowMs - this.#options.maxReportLagMs;
      this.book.noteTargetReport(
        target,
        { loadRequests, measuredAtMs },
        nowMs,
      );
    }
  }

  #sendLoneReports(): void {
    const { loneReportMs } = this.#options;
    if (loneReportMs === 0 || this.book.keptTargets().length === 0) return;
    for (const peer of this.daemon.view.daemons().keys()) {
      if (peer === this.daemon.name) continue;
      const outbox = this.#outboxOf(peer);
      if (this.#nowMs - outbox.reportedAtMs < loneReportMs) continue;
      this.#sendReturns(peer);
    }
  }

  #sendAnswer(holder: string, answer: PermitAnswer): void {
    if (holder === this.daemon.name) return this.#takeAnswer(answer);
    const extras = this.#takeExtras(holder);
    this.#send(holder, { kind: "answer", answer, extras });
  }

  #sendLateAnswers(late: readonly LateAnswer[]): void {
    for (const { holder, answer } of late) this.#sendAnswer(holder, answer);
  }

  #sendReturns(peer: string): void {
    const extras = this.#takeExtras(peer);
    if (extras.returns.length + extras.reports.length === 0) return;
    this.#send(peer, { kind: "returns", extras });
  }

  /** What waits for the peer: returned permits, and a report if it is due. */
  #takeExtras(peer: string): PermitExtras {
    const outbox = this.#outboxOf(peer);
    const { returns } = outbox;
    outbox.returns = [];
    const nowMs = this.#nowMs;
    const isDue = nowMs - outbox.reportedAtMs >= this.#options.reportPeriodMs;
    if (!isDue || this.book.keptTargets().length === 0) {
      return { returns, reports: [] };
    }
    outbox.reportedAtMs = nowMs;
    return { returns, reports: [this.book.ownReport(POOL, nowMs)] };
  }

  #takeExtrasOf(from: string, extras: PermitExtras): void {
    const nowMs = this.#nowMs;
    for (const report of extras.reports) {
      this.book.notePoolReport(from, report, nowMs);
    }
    for (const askId of extras.returns) this.book.release(from, askId, nowMs);
  }

  #takeAnswer(answer: PermitAnswer): void {
    const pending = this.#pending.get(answer.askId);
    this.#pending.delete(answer.askId);
    if (!pending) return;
    if (answer.kind === "refused") {
      this.#holder.noteRefusal(answer.askId);
      return pending.onAnswer(answer.reason);
    }
    const verdict = this.#holder.noteGrant(answer, this.#nowMs);
    for (const adoption of this.#holder.takeAdoptions()) {
      const keeper = answer.epoch.keeper;
      if (keeper === this.daemon.name) continue;
      this.#send(keeper, { kind: "adopt", ...adoption });
    }
    if (verdict !== "usable") {
      if (verdict === "stale-epoch") this.#tellNewerEpoch(pending);
      this.#queueReturns();
      return pending.onAnswer("timeout");
    }
    pending.onAnswer({
      start: () => this.#start(answer.askId),
      end: () => this.daemon.run(() => this.#end(answer.askId)),
    });
  }

  #tellNewerEpoch({ keeper, target }: PendingAsk): void {
    const epoch = this.#holder.epochOf(target)!;
    const answer = { kind: "newer-epoch", target, epoch } as const;
    if (keeper !== this.daemon.name) {
      return this.#send(keeper, { kind: "collected", answer });
    }
    this.book.noteCollectAnswer(keeper, answer, this.#nowMs);
  }

  #start(askId: number): boolean {
    const isAllowed = this.#holder.start(askId, this.#nowMs);
    if (!isAllowed) this.#queueReturns();
    return isAllowed;
  }

  #end(askId: number): void {
    this.#holder.end(askId);
    this.#queueReturns();
  }

  #timeOut(askId: number): void {
    const pending = this.#pending.get(askId);
    if (!pending) return;
    this.#pending.delete(askId);
    this.#end(askId);
    pending.onAnswer("timeout");
  }

  #queueReturns(): void {
    for (const { keeper, askId } of this.#holder.takeReturns()) {
      if (keeper === this.daemon.name) {
        this.book.release(keeper, askId, this.#nowMs);
        this.#sendLateAnswers(this.book.takeLateAnswers(this.#nowMs));
        continue;
      }
      const outbox = this.#outboxOf(keeper);
      outbox.returns.push(askId);
      if (outbox.isFlushPlanned) continue;
      outbox.isFlushPlanned = true;
      this.#world.heap.after(
        this.#options.returnBatchMs,
        () => this.daemon.run(() => this.#flushReturns(keeper)),
      );
    }
  }

  #flushReturns(peer: string): void {
    const outbox = this.#outboxOf(peer);
    outbox.isFlushPlanned = false;
    if (outbox.returns.length > 0) this.#sendReturns(peer);
  }

  #outboxOf(peer: string): Outbox {
    let outbox = this.#outboxes.get(peer);
    if (!outbox) {
      outbox = {
        returns: [],
        isFlushPlanned: false,
        reportedAtMs: -Infinity,
      };
      this.#outboxes.set(peer, outbox);
    }
    return outbox;
  }
}
