import {
  type CancelTimer,
  type CollectRequest,
  decodeAsk,
  decodeReport,
  DEFAULT_KEEPER_BOOK_OPTIONS,
  encodeAnswer,
  type EncodedReport,
  encodeReport,
  KeeperBook,
  PERMIT_METHOD,
  type PermitAnswer,
  type PermitAsk,
  type PermitHolder,
  type PermitParams,
  permitParamsSchema,
  type PermitResult,
  type TimerService,
} from "@coltsfootford/core";
import type {
  Blackboard,
  CancelSubscription,
  TargetView,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { Peers } from "../peers/index.ts";
import type { KeeperMembership } from "./keeper_membership.ts";
import { LoadReports } from "./load_reports.ts";
import type { LocalKeeper } from "./permit_exchange.ts";
import {
  ADOPT_METHOD,
  adoptParamsSchema,
  COLLECT_METHOD,
  collectAnswerSchema,
  collectParamsSchema,
  decodeCollectAnswer,
  encodeCollectAnswer,
} from "./wire.ts";

const ADVANCE_PERIOD_MS = 50;
const COLLECT_TIMEOUT_MS = 250;
/**
 * Longest time by which a target's report lags its own count. A report is
 * taken as measured this long before it came.
 */
const MAX_REPORT_LAG_MS = 2_000;
/** Wait before a target is taken back from another daemon that collects. */
const RIVAL_WAIT_MS = 500;

/** What a `KeeperController` is built from. */
export interface KeeperControllerParts {
  /** Name of this daemon. */
  readonly vm: string;
  readonly blackboard: Blackboard;
  readonly membership: KeeperMembership;
  readonly peers: Peers;
  readonly timer: TimerService;
  readonly holder: PermitHolder;
}

/**
 * Keeps the targets that fall to this daemon: it answers asks for permits,
 * takes over from former keepers and tells other keepers the loads. It reads
 * `config`, `targets`, `keepers` and `loadReports` and alone writes
 * `targetLoads`.
 */
export class KeeperController extends Controller implements LocalKeeper {
  override readonly name = "keepers";
  readonly #parts: KeeperControllerParts;
  readonly #book: KeeperBook;
  readonly #reports: LoadReports;
  readonly #cancels: (CancelTimer | CancelSubscription)[] = [];
  /** Targets that another daemon collected, and when to take them back. */
  readonly #retakes = new Map<string, number>();
  #wasMandated = false;

  constructor(parts: KeeperControllerParts) {
    super();
    this.#parts = parts;
    this.#book = new KeeperBook(parts.vm);
    this.#reports = new LoadReports(
      parts.vm,
      parts.membership,
      this.#book,
      parts.blackboard,
    );
  }

  override start(): Promise<void> {
    const { blackboard, timer, peers } = this.#parts;
    peers.handle(PERMIT_METHOD, permitParamsSchema, (params, sender) => {
      return this.#answerPermits(sender.vm, params);
    });
    peers.handle(ADOPT_METHOD, adoptParamsSchema, (params, sender) => {
      const [target, askIds] = params;
      this.#book.adopt(sender.vm, target, askIds, timer.nowMs());
    });
    peers.handle(COLLECT_METHOD, collectParamsSchema, (params, sender) => {
      const [target, number] = params;
      const request = { target, epoch: { number, keeper: sender.vm } };
      this.#noteRival(request);
      return encodeCollectAnswer(this.#parts.holder.answerCollect(request));
    });
    peers.onEvent((event) => {
      if (event.direction !== "in") return;
      // A new connection may be of a new run, whose asks count from the start.
      const isNews = event.kind === "connected" ||
        event.kind === "disconnected";
      if (isNews) this.#book.noteHolderGone(event.peer, timer.nowMs());
    });
    this.#cancels.push(
      blackboard.config.subscribe(() => this.#assign()),
      blackboard.targets.subscribe(() => this.#assign()),
      blackboard.keepers.subscribe(() => this.#assign()),
      blackboard.loadReports.subscribe(() => this.#noteLoads()),
      timer.every(ADVANCE_PERIOD_MS, () => this.#advance()),
    );
    this.#assign();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    for (const cancel of this.#cancels) cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    const nowMs = this.#parts.timer.nowMs();
    return this.#book.keptTargets().map((target) => {
      const keeper = this.#book.keeperOf(target)!;
      return {
        target,
        epoch: keeper.epoch.number,
        isGranting: keeper.isGranting,
        loadRequests: keeper.loadRequests(nowMs),
      };
    });
  }

  /** The daemon that keeps a target, by this daemon's view. */
  keeperOf(target: string): string | undefined {
    return this.#parts.blackboard.keepers.read().get(target)?.vm;
  }

  answerSelf(ask: PermitAsk): PermitAnswer {
    return this.#answer(this.#parts.vm, ask, this.#parts.timer.nowMs());
  }

  releaseSelf(askId: number): void {
    const { vm, timer } = this.#parts;
    this.#book.release(vm, askId, timer.nowMs());
  }

  adoptSelf(target: string, askIds: readonly number[]): void {
    const { vm, timer } = this.#parts;
    this.#book.adopt(vm, target, askIds, timer.nowMs());
  }

  noteReports(keeper: string, reports: readonly EncodedReport[]): void {
    const nowMs = this.#parts.timer.nowMs();
    for (const report of reports) {
      this.#book.notePoolReport(keeper, decodeReport(report), nowMs);
    }
  }

  reports(): EncodedReport[] {
    return this.#reports.own(this.#poolNames(), this.#parts.timer.nowMs())
      .map(encodeReport);
  }

  #poolNames(): Iterable<string> {
    return this.#parts.blackboard.config.read().objects.pools.keys();
  }

  #answerPermits(vm: string, params: PermitParams): PermitResult {
    const [asks, returnedAskIds, reports] = params;
    const nowMs = this.#parts.timer.nowMs();
    this.noteReports(vm, reports);
    for (const askId of returnedAskIds) this.#book.release(vm, askId, nowMs);
    const answers = asks.map((ask) =>
      encodeAnswer(this.#answer(vm, decodeAsk(ask), nowMs))
    );
    return [answers, asks.length > 0 ? this.reports() : []];
  }

  #answer(holder: string, ask: PermitAsk, nowMs: number): PermitAnswer {
    const mayKeep = this.#wasMandated &&
      this.#parts.membership.mandateValid();
    if (mayKeep) return this.#book.answer(holder, ask, nowMs);
    return { kind: "refused", askId: ask.askId, reason: "not-ready" };
  }

  /** Works out what this daemon keeps, and takes over what is new. */
  #assign(): void {
    const { blackboard, vm } = this.#parts;
    const targets = [...blackboard.targets.read().values()];
    this.#setPools(targets);
    const kept = new Set<string>();
    for (const [target, keeper] of blackboard.keepers.read()) {
      if (keeper.vm === vm) kept.add(target);
    }
    for (const target of this.#book.keptTargets()) {
      if (!kept.has(target)) this.#book.stopKeeping(target);
    }
    for (const target of targets) {
      if (!kept.has(target.name)) continue;
      if (!this.#book.keeperOf(target.name)) this.#takeOver(target);
      const isLeaving = target.state !== "live";
      this.#book.keeperOf(target.name)?.noteLeaving(isLeaving);
    }
  }

  #setPools(targets: readonly TargetView[]): void {
    const serving = new Map<string, number>();
    for (const target of targets) {
      if (target.state !== "live") continue;
      serving.set(target.pool, (serving.get(target.pool) ?? 0) + 1);
    }
    const { pools } = this.#parts.blackboard.config.read().objects;
    for (const pool of pools.values()) {
      this.#book.setPool({
        name: pool.name,
        loadFactor: pool.loadFactor,
        maxConcurrentPerTarget: pool.maxConcurrentPerTarget,
        servingTargets: serving.get(pool.name) ?? 0,
      });
    }
  }

  #takeOver(target: TargetView): void {
    const nowMs = this.#parts.timer.nowMs();
    const holders = this.#holderVms();
    const request = this.#book.beginKeeping(
      target.name,
      target.pool,
      holders,
      nowMs,
    );
    this.#collect(request, holders);
  }

  /**
   * Another daemon collects the permits of a target. It is its keeper then,
   * unless this daemon is by its own view, which takes over anew.
   */
  #noteRival(request: CollectRequest): void {
    const { vm } = this.#parts;
    if (request.epoch.keeper === vm) return;
    this.#book.noteCollectRequest(request);
    if (this.keeperOf(request.target) !== vm) return;
    // Two daemons that disagree for long must not answer each other at once.
    if (this.#retakes.has(request.target)) return;
    const retakeAtMs = this.#parts.timer.nowMs() + RIVAL_WAIT_MS;
    this.#retakes.set(request.target, retakeAtMs);
  }

  #retakeDue(nowMs: number): void {
    const targets = this.#parts.blackboard.targets.read();
    for (const [name, retakeAtMs] of this.#retakes) {
      if (nowMs < retakeAtMs) continue;
      this.#retakes.delete(name);
      const target = targets.get(name);
      const isKept = this.#book.keeperOf(name) !== undefined;
      if (target && isKept) this.#takeOver(target);
    }
  }

  /** Daemons that may hold permits, those that are leaving included. */
  #holderVms(): string[] {
    const members = this.#parts.membership.members();
    return members.filter((member) =>
      member.isReachable && member.state !== "dead"
    ).map((member) => member.vm);
  }

  #collect(request: CollectRequest, holders: readonly string[]): void {
    for (const vm of holders) void this.#collectFrom(vm, request);
  }

  async #collectFrom(vm: string, request: CollectRequest): Promise<void> {
    const { peers, holder, timer } = this.#parts;
    const wire = vm === this.#parts.vm
      ? encodeCollectAnswer(holder.answerCollect(request))
      : (await peers.call(
        vm,
        COLLECT_METHOD,
        [request.target, request.epoch.number],
        collectAnswerSchema,
        { timeoutMs: COLLECT_TIMEOUT_MS },
      )).unwrapOr(undefined);
    if (!wire) return;
    const answer = decodeCollectAnswer(wire, request);
    const holders = this.#holderVms();
    const next = this.#book.noteCollectAnswer(
      vm,
      answer,
      holders,
      timer.nowMs(),
    );
    if (next) this.#collect(next, holders);
  }

  /** Ends take-overs, notices pauses, and exchanges loads. */
  #advance(): void {
    const { timer, membership } = this.#parts;
    const nowMs = timer.nowMs();
    const wasAwake = this.#book.noteAlive(nowMs);
    const isMandated = membership.mandateValid();
    if (isMandated && (!wasAwake || !this.#wasMandated)) this.#retakeAll();
    this.#wasMandated = isMandated;
    if (isMandated) this.#retakeDue(nowMs);
    this.#book.advance(nowMs);
    this.#reports.exchange(this.#poolNames(), nowMs);
  }

  #retakeAll(): void {
    const targets = this.#parts.blackboard.targets.read();
    for (const name of this.#book.keptTargets()) {
      const target = targets.get(name);
      if (target) this.#takeOver(target);
    }
  }

  /** Takes the targets' own counts as a floor of their load. */
  #noteLoads(): void {
    const { blackboard, timer } = this.#parts;
    const nowMs = timer.nowMs();
    for (const report of blackboard.loadReports.read().values()) {
      const loadRequests = report.runningRequests + report.waitingRequests;
      const measuredAtMs = report.receivedAtMs - MAX_REPORT_LAG_MS;
      const ownCount = { loadRequests, measuredAtMs };
      this.#book.noteTargetReport(report.target, ownCount, nowMs);
    }
  }
}

/** Time to start that every keeper gives with a permit, in ms. */
export const START_WITHIN_MS = DEFAULT_KEEPER_BOOK_OPTIONS.startWithinMs;
