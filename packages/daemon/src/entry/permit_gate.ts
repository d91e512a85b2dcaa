import type { Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import type { RequestContext } from "./request_context.ts";

/** The right to run one request on one target. */
export interface Permit {
  readonly target: string;
  /**
   * Starts the request under this permit. Call it right before the request is
   * sent; false means that it must not be sent any more.
   */
  start(): boolean;
  /** Gives the place back once the answer has ended. Idempotent. */
  release(): void;
}

/** Why a target takes no request now. */
export interface PermitRefusal {
  readonly reason: "at-bound" | "keeper-unreachable" | "target-leaving";
}

/** Decides whether a target may take one more request. */
export abstract class PermitGate {
  abstract acquire(
    target: TargetView,
    context: RequestContext,
    /** Whether the target is the first in the request's order. */
    isHome: boolean,
    /** How long to wait while the target is full, 0 for not at all. */
    waitInLineMs: number,
  ): Promise<Result<Permit, PermitRefusal>>;
}
