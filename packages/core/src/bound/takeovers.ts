import type { PeerActivity } from "./peer_activity.ts";
import type { LateAnswer } from "./permit_request_queue.ts";
import type { OwnedTargets, PreviousOwner } from "./owned_targets.ts";
import type { CollectAnswer, CollectRequest } from "./permit.ts";
import type { PermitHolder } from "./permit_holder.ts";

/** A daemon heard this long ago may still hold permits, in ms. */
const HEARD_HOLDER_MS = 60_000;

/** A target that falls to this daemon. */
export interface OwnedTargetView {
  readonly name: string;
  readonly pool: string;
  /** Whether it has just started to serve, beside others. */
  readonly isNew: boolean;
  readonly isLeaving: boolean;
}

/** What `Takeovers` is built from. */
export interface TakeoversDependencies {
  /** Name of this daemon. */
  readonly name: string;
  readonly book: OwnedTargets;
  readonly holder: PermitHolder;
  readonly heard: PeerActivity;
  /** Daemons that may hold permits, this one included. */
  readonly viewedHolders: () => readonly string[];
  readonly sendCollect: (to: string, request: CollectRequest) => void;
  /** A report older than this counts for nothing, in ms. */
  readonly maxReportAgeMs: number;
  /** Wait before a target is taken back that another daemon collected. */
  readonly retakeMs: number;
}

/** Takes targets over from their former keepers, and answers other keepers. */
export class Takeovers {
  readonly #parts: TakeoversDependencies;
  readonly #retakesAtMs = new Map<string, number>();
  #owned = new Map<string, OwnedTargetView>();

  constructor(parts: TakeoversDependencies) {
    this.#parts = parts;
  }

  /** Sets the targets that fall to this daemon; new ones are taken over. */
  setOwned(
    targets: readonly OwnedTargetView[],
    nowMs: number,
  ): readonly LateAnswer[] {
    const { book } = this.#parts;
    this.#owned = new Map(targets.map((target) => [target.name, target]));
    const late: LateAnswer[] = [];
    for (const name of book.ownedTargets()) {
      if (!this.#owned.has(name)) late.push(...book.giveUpOwnership(name));
    }
    for (const target of targets) {
      if (!book.admissionOf(target.name)) this.#begin(target, nowMs);
      book.admissionOf(target.name)?.noteLeaving(target.isLeaving);
    }
    return late;
  }

  /** Starts every take-over anew, as after a pause of this daemon. */
  beginAll(nowMs: number): void {
    for (const target of this.#owned.values()) this.#begin(target, nowMs);
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
      const target = this.#owned.get(name);
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

  #begin(target: OwnedTargetView, nowMs: number): void {
    const { name: self, book, holder, sendCollect } = this.#parts;
    const { name, pool } = target;
    const holders = this.#possibleHolders(nowMs);
    const former = this.#previousOwner(name, nowMs);
    const request = book.takeOwnership(name, pool, holders, nowMs, former);
    if (target.isNew) book.noteStarted(name, nowMs);
    book.admissionOf(name)?.noteLeaving(target.isLeaving);
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

  #previousOwner(target: string, nowMs: number): PreviousOwner {
    const { holder, heard, maxReportAgeMs } = this.#parts;
    const epoch = holder.epochOf(target);
    if (!epoch) return { epochNumber: 0, mayReport: false };
    const silentMs = nowMs - heard.heardAtMs(epoch.owner);
    const mayReport = silentMs <= maxReportAgeMs;
    return { epochNumber: epoch.number, mayReport };
  }
}
