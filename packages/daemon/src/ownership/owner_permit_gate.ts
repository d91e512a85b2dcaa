import {
  homeWaitMs,
  type PermitNode,
  type PermitRequestOutcome,
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

/** Asks the keepers of targets for every request. */
export class OwnerPermitGate extends PermitGate {
  readonly #node: PermitNode;

  constructor(node: PermitNode) {
    super();
    this.#node = node;
  }

  override acquire(
    targets: readonly TargetView[],
    context: RequestContext,
  ): Promise<Result<Permit, PermitRefusal>> {
    const names = targets.map((target) => target.name);
    const waitMs = waitForHomeMs(context);
    return new Promise((resolve) => {
      this.#node.askAny(names, waitMs, (outcome) => resolve(toResult(outcome)));
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
  outcome: PermitRequestOutcome,
): Result<Permit, PermitRefusal> {
  if (typeof outcome === "object") {
    const { target, start, end } = outcome;
    return ok({ target, start, release: end });
  }
  if (outcome === "leaving") return err({ reason: "target-leaving" });
  if (outcome === "timeout" || outcome === "no-keeper") {
    return err({ reason: "keeper-unreachable" });
  }
  return err({ reason: "at-bound" });
}
