import type { HeardPeers } from "./heard_peers.ts";
import type { LateAnswer } from "./ask_queue.ts";
import type { FormerKeeper, KeeperBook } from "./keeper_book.ts";
import type { CollectAnswer, CollectRequest } from "./permit.ts";
import type { PermitHolder } from "./permit_holder.ts";

/** A daemon heard this long ago may still hold permits, in ms. */
const HEARD_HOLDER_MS = 60_000;

/** A target that falls to this daemon. */
export interface KeptTargetView {
  readonly name: string;
  readonly pool: string;
  /** Whether it has just started to serve, beside others. */
  readonly isNew: boolean;
  readonly isLeaving: boolean;
}

/** What `TakeOvers` is built from. */
export interface TakeOversParts {
  /** Name of this daemon. */
  readonly name: string;
  readonly book: KeeperBook;
  readonly holder: PermitHolder;
  readonly heard: HeardPeers;
  /** Daemons that may hold permits, this one included. */
  readonly viewedHolders: () => readonly string[];
  readonly sendCollect: (to: string, request: CollectRequest) => void;
  /** A report older than this counts for nothing, in ms. */
  readonly maxReportAgeMs: number;
  /** Wait before a target is taken back that another daemon collected. */
  readonly retakeMs: number;
}

/** Takes targets over from their former keepers, and answers other keepers. */
export class TakeOvers {
  readonly #parts: TakeOversParts;
  readonly #retakesAtMs = new Map<string, number>();
  #kept = new Map<string, KeptTargetView>();

  constructor(parts: TakeOversParts) {
    this.#parts = parts;
  }

  /** Sets the targets that fall to this daemon; new ones are taken over. */
  setKept(
    targets: readonly KeptTargetView[],
    nowMs: number,
  ): readonly LateAnswer[] {
    const { book } = this.#parts;
    this.#kept = new Map(targets.map((target) => [target.name, target]));
    const late: LateAnswer[] = [];
    for (const name of book.keptTargets()) {
      if (!this.#kept.has(name)) late.push(...book.stopKeeping(name));
    }
    for (const target of targets) {
      if (!book.keeperOf(target.name)) this.#begin(target, nowMs);
      book.keeperOf(target.name)?.noteLeaving(target.isLeaving);
    }
    return late;
  }

  /** Starts every take-over anew, as after a pause of this daemon. */
  beginAll(nowMs: number): void {
    for (const target of this.#kept.values()) this.#begin(target, nowMs);
  }

  /** Two daemons that disagree must not take from each other at once. */
  retake(nowMs: number): void {
    const dropped = new Set(this.#parts.book.droppedTargets());
    for (const name of dropped) {
      const retakeAtMs = this.#retakesAtMs.get(name);
      if (retakeAtMs === undefined) {
        this.#retakesAtMs.set(name, nowMs + this.#parts.retakeMs);
        continue;
      }
      if (nowMs < retakeAtMs) continue;
      this.#retakesAtMs.delete(name);
      const target = this.#kept.get(name);
      if (target) this.#begin(target, nowMs);
    }
    for (const name of this.#retakesAtMs.keys()) {
      if (!dropped.has(name)) this.#retakesAtMs.delete(name);
    }
  }

  /** Answers another daemon that takes a target over. */
  answerCollect(request: CollectRequest, nowMs: number): CollectAnswer {
    const { book, holder } = this.#parts;
    const answer = holder.answerCollect(request);
    if (answer.kind === "newer-epoch") return answer;
    const orphanRequests = book.orphanRequests(request.target, nowMs);
    book.noteCollectRequest(request);
    return orphanRequests === 0 ? answer : { ...answer, orphanRequests };
  }

  #begin(target: KeptTargetView, nowMs: number): void {
    const { name: self, book, holder, sendCollect } = this.#parts;
    const { name, pool } = target;
    const holders = this.#possibleHolders(nowMs);
    const former = this.#formerKeeper(name, nowMs);
    const request = book.beginKeeping(name, pool, holders, nowMs, former);
    if (target.isNew) book.noteStarted(name, nowMs);
    book.keeperOf(name)?.noteLeaving(target.isLeaving);
    for (const vm of holders) {
      if (vm !== self) sendCollect(vm, request);
    }
    book.noteCollectAnswer(self, holder.answerCollect(request), nowMs);
  }

  /** Daemons of the view, and those heard of late that it does not show. */
  #possibleHolders(nowMs: number): ReadonlySet<string> {
    const { heard, viewedHolders } = this.#parts;
    const recent = heard.takeRecent(HEARD_HOLDER_MS, nowMs);
    return new Set([...viewedHolders(), ...recent]);
  }

  #formerKeeper(target: string, nowMs: number): FormerKeeper {
    const { holder, heard, maxReportAgeMs } = this.#parts;
    const epoch = holder.epochOf(target);
    if (!epoch) return { epochNumber: 0, mayReport: false };
    const silentMs = nowMs - heard.heardAtMs(epoch.keeper);
    const mayReport = silentMs <= maxReportAgeMs;
    return { epochNumber: epoch.number, mayReport };
  }
}
