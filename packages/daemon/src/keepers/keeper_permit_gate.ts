import {
  type AskOutcome,
  homeWaitMs,
  type PermitNode,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import {
  type Permit,
  PermitGate,
  type PermitRefusal,
  type RequestContext,
} from "../entry/index.ts";

/** Characters of a prompt for one token, about. */
const CHARACTERS_PER_TOKEN = 4;

/** Asks the keeper of a target for every request. */
export class KeeperPermitGate extends PermitGate {
  readonly #node: PermitNode;

  constructor(node: PermitNode) {
    super();
    this.#node = node;
  }

  override acquire(
    target: TargetView,
    context: RequestContext,
    isHome: boolean,
    waitInLineMs: number,
  ): Promise<Result<Permit, PermitRefusal>> {
    const homeMs = isHome ? waitForHomeMs(context) : 0;
    const waitMs = Math.max(homeMs, waitInLineMs);
    return new Promise((resolve) => {
      const parts = waitMs > 0 ? { waitMs } : {};
      this.#node.ask(target.name, parts, (outcome) => {
        resolve(toResult(target.name, outcome));
      });
    });
  }
}

/** Only a returning chat has a prefix that is worth a wait. */
function waitForHomeMs(context: RequestContext): number {
  if (!context.isReturning) return 0;
  const prefixTokens = context.body.length / CHARACTERS_PER_TOKEN;
  return homeWaitMs(context.route.reuseWeight, prefixTokens);
}

function toResult(
  target: string,
  outcome: AskOutcome,
): Result<Permit, PermitRefusal> {
  if (typeof outcome === "object") {
    return ok({ target, start: outcome.start, release: outcome.end });
  }
  if (outcome === "leaving") return err({ reason: "target-leaving" });
  if (outcome === "timeout" || outcome === "no-keeper") {
    return err({ reason: "keeper-unreachable" });
  }
  return err({ reason: "at-bound" });
}
