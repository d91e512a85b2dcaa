import type { Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import type { RequestContext } from "./request_context.ts";

/** The right to run one request on one target. */
export interface Permit {
  /** Name of the target. */
  readonly target: string;
  /**
   * Starts the request under this permit. Call it right before the request is
   * sent; false means that it must not be sent any more.
   */
  start(): boolean;
  /** Gives the place back once the answer has ended. Idempotent. */
  release(): void;
}

/** Why no target takes a request now. */
export interface PermitRefusal {
  readonly reason: "at-bound" | "keeper-unreachable" | "target-leaving";
}

/** Decides which target may take one more request. */
export abstract class PermitGate {
  /** Takes the first of `targets`, best first, that has a place. */
  abstract acquire(
    targets: readonly TargetView[],
    context: RequestContext,
  ): Promise<Result<Permit, PermitRefusal>>;
}
