import type {
  PermitAnswer,
  PermitHolder,
  TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import {
  type Permit,
  PermitGate,
  type PermitRefusal,
  type RequestContext,
} from "../entry/index.ts";
import type { PermitExchange } from "./permit_exchange.ts";

/** What a `KeeperPermitGate` is built from. */
export interface KeeperPermitGateParts {
  readonly timer: TimerService;
  readonly holder: PermitHolder;
  readonly exchange: PermitExchange;
  readonly keeperOf: (target: string) => string | undefined;
}

/** Asks the keeper of a target for every request. */
export class KeeperPermitGate extends PermitGate {
  readonly #parts: KeeperPermitGateParts;

  constructor(parts: KeeperPermitGateParts) {
    super();
    this.#parts = parts;
  }

  override async acquire(
    target: TargetView,
    context: RequestContext,
  ): Promise<Result<Permit, PermitRefusal>> {
    const { timer, holder, exchange, keeperOf } = this.#parts;
    const keeper = keeperOf(target.name);
    if (keeper === undefined) return err({ reason: "keeper-unreachable" });
    const askId = holder.createAsk(target.name, keeper, timer.nowMs());
    const ask = { askId, target: target.name, ...context.askedChat };
    const answer = await exchange.ask(keeper, ask);
    if (answer) return this.#take(target, answer);
    // The keeper may have granted all the same, so the permit is handed back.
    this.#end(askId);
    return err({ reason: "keeper-unreachable" });
  }

  #take(
    target: TargetView,
    answer: PermitAnswer,
  ): Result<Permit, PermitRefusal> {
    const { timer, holder, exchange } = this.#parts;
    const { askId } = answer;
    if (answer.kind === "refused") {
      holder.noteRefusal(askId);
      return err({
        reason: answer.reason === "leaving" ? "target-leaving" : "at-bound",
      });
    }
    const verdict = holder.noteGrant(answer, timer.nowMs());
    exchange.sendReturns();
    if (verdict !== "usable") return err({ reason: "keeper-unreachable" });
    return ok({
      target: target.name,
      start: () => {
        const mayStart = holder.start(askId, timer.nowMs());
        if (!mayStart) exchange.sendReturns();
        return mayStart;
      },
      release: () => this.#end(askId),
    });
  }

  #end(askId: number): void {
    this.#parts.holder.end(askId);
    this.#parts.exchange.sendReturns();
  }
}
