import {
  type CancelTimer,
  decodeAnswer,
  encodeAsk,
  type EncodedReport,
  PERMIT_METHOD,
  type PermitAnswer,
  type PermitAsk,
  type PermitHolder,
  permitResultSchema,
  type TimerService,
} from "@coltsfootford/core";
import type { Peers } from "../peers/index.ts";
import { ADOPT_METHOD } from "./wire.ts";

/**
 * Longest time that a return waits for an ask to the same keeper, so that both
 * go in one message. The bound allows for permits that are this late.
 */
const RETURN_WAIT_MS = 10;

/** An answer, or nothing where the keeper gave none in time. */
export type AskResult = PermitAnswer | undefined;

interface WaitingAsk {
  readonly ask: PermitAsk;
  readonly resolve: (result: AskResult) => void;
}

/** All that waits to be sent to one keeper. */
interface Batch {
  asks: WaitingAsk[];
  returnedAskIds: number[];
}

/** The keeper in this very daemon, and the reports of pools it gets. */
export interface LocalKeeper {
  answerSelf(ask: PermitAsk): PermitAnswer;
  releaseSelf(askId: number): void;
  adoptSelf(target: string, askIds: readonly number[]): void;
  noteReports(keeper: string, reports: readonly EncodedReport[]): void;
  reports(): EncodedReport[];
}

/** What a `PermitExchange` is built from. */
export interface PermitExchangeParts {
  /** Name of this daemon. */
  readonly vm: string;
  readonly timer: TimerService;
  readonly peers: Peers;
  readonly holder: PermitHolder;
  readonly localKeeper: LocalKeeper;
  /** Time to start that keepers give, and to wait for their answers. */
  readonly startWithinMs: number;
  /** The daemon that keeps a target now, if any is known. */
  readonly keeperOf: (target: string) => string | undefined;
}

/**
 * Carries asks and returns between this daemon and the keepers. All that goes
 * to one keeper in one turn of the loop goes in one message.
 */
export class PermitExchange {
  readonly #parts: PermitExchangeParts;
  readonly #batches = new Map<string, Batch>();
  #isFlushDue = false;
  #cancelReturnTimer: CancelTimer | undefined;

  constructor(parts: PermitExchangeParts) {
    this.#parts = parts;
  }

  /** Asks a keeper. */
  ask(keeper: string, ask: PermitAsk): Promise<AskResult> {
    if (keeper === this.#parts.vm) {
      return Promise.resolve(this.#parts.localKeeper.answerSelf(ask));
    }
    return new Promise((resolve) => {
      this.#batchOf(keeper).asks.push({ ask, resolve });
      this.#scheduleFlush();
    });
  }

  /** Takes what the holder hands back and sends it before long. */
  sendReturns(): void {
    const { holder, localKeeper, vm } = this.#parts;
    this.#sendAdoptions();
    for (const { keeper, askId } of holder.takeReturns()) {
      if (keeper === vm) localKeeper.releaseSelf(askId);
      else this.#batchOf(keeper).returnedAskIds.push(askId);
    }
    if (this.#batches.size === 0 || this.#cancelReturnTimer) return;
    this.#cancelReturnTimer = this.#parts.timer.after(RETURN_WAIT_MS, () => {
      this.#cancelReturnTimer = undefined;
      this.#flushReturns();
    });
  }

  #batchOf(keeper: string): Batch {
    const batch = this.#batches.get(keeper) ?? { asks: [], returnedAskIds: [] };
    this.#batches.set(keeper, batch);
    return batch;
  }

  #scheduleFlush(): void {
    if (this.#isFlushDue) return;
    this.#isFlushDue = true;
    queueMicrotask(() => {
      this.#isFlushDue = false;
      for (const [keeper, batch] of this.#batches) {
        if (batch.asks.length === 0) continue;
        this.#batches.delete(keeper);
        void this.#sendBatch(keeper, batch);
      }
    });
  }

  /** Sends returns that no ask to the same keeper has taken along. */
  #flushReturns(): void {
    const { peers, localKeeper } = this.#parts;
    for (const [keeper, batch] of this.#batches) {
      if (batch.returnedAskIds.length === 0) continue;
      const returned = batch.returnedAskIds;
      batch.returnedAskIds = [];
      if (batch.asks.length === 0) this.#batches.delete(keeper);
      const params = [[], returned, localKeeper.reports()];
      peers.notify(keeper, PERMIT_METHOD, params);
    }
  }

  async #sendBatch(keeper: string, batch: Batch): Promise<void> {
    const { peers, localKeeper, startWithinMs } = this.#parts;
    const result = await peers.call(
      keeper,
      PERMIT_METHOD,
      [
        batch.asks.map(({ ask }) => encodeAsk(ask)),
        batch.returnedAskIds,
        localKeeper.reports(),
      ],
      permitResultSchema,
      { timeoutMs: startWithinMs },
    );
    const [encoded, reports] = result.unwrapOr([[], []]);
    localKeeper.noteReports(keeper, reports);
    const answers = new Map(encoded.map((it) => [it[0], it]));
    for (const { ask, resolve } of batch.asks) {
      const answer = answers.get(ask.askId);
      resolve(answer && decodeAnswer(answer, keeper, startWithinMs));
    }
  }

  #sendAdoptions(): void {
    const { holder, localKeeper, keeperOf, vm, peers } = this.#parts;
    for (const { target, askIds } of holder.takeAdoptions()) {
      const keeper = keeperOf(target);
      if (keeper === vm) localKeeper.adoptSelf(target, askIds);
      else if (keeper !== undefined) {
        peers.notify(keeper, ADOPT_METHOD, [target, askIds]);
      }
    }
  }
}
