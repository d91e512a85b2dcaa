import type { Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import type { RequestContext } from "./request_context.ts";

/** The right to send one request to one target. */
export interface Permit {
  /** Name of the target. */
  readonly target: string;
  /**
   * Marks the permit as used. Call it immediately before the request is sent;
   * false means that the permit is no longer valid and the request must not be
   * sent.
   */
  start(): boolean;
  /** Returns the permit once the response has ended. Idempotent. */
  release(): void;
}

/** Why no target accepts a request now. */
export interface PermitRejection {
  readonly reason: "at-bound" | "keeper-unreachable" | "target-leaving";
}

/** Issues permits, which limit the requests in flight at a target. */
export abstract class PermitGate {
  /**
   * Acquires a permit for the first target with free capacity. `targets` are in
   * order of preference.
   */
  abstract acquire(
    targets: readonly TargetView[],
    context: RequestContext,
  ): Promise<Result<Permit, PermitRejection>>;
}
