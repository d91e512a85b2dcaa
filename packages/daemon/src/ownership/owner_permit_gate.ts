import {
  affinityWaitMs,
  type PermitNode,
  type PermitRequestOutcome,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import {
  type Permit,
  PermitGate,
  type PermitRejection,
  type RequestContext,
} from "../entry/index.ts";

/** Approximate number of prompt characters per token. */
const CHARACTERS_PER_TOKEN = 4;

/** Requests a permit from the owner of a target for every client request. */
export class OwnerPermitGate extends PermitGate {
  readonly #node: PermitNode;

  constructor(node: PermitNode) {
    super();
    this.#node = node;
  }

  override acquire(
    targets: readonly TargetView[],
    context: RequestContext,
  ): Promise<Result<Permit, PermitRejection>> {
    const names = targets.map((target) => target.name);
    const waitMs = preferredTargetWaitMs(context);
    return new Promise((resolve) => {
      this.#node.requestAnyPermit(
        names,
        waitMs,
        (outcome) => resolve(toResult(outcome)),
      );
    });
  }
}

/**
 * Time to wait for the preferred target. Only a returning chat has a cached
 * prefix that is worth a wait.
 */
function preferredTargetWaitMs(context: RequestContext): number {
  if (!context.isFollowUpTurn) return 0;
  const prefixTokens = context.body.length / CHARACTERS_PER_TOKEN;
  return affinityWaitMs(context.route.reuseWeight, prefixTokens);
}

function toResult(
  outcome: PermitRequestOutcome,
): Result<Permit, PermitRejection> {
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
