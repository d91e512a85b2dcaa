import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import {
  type Permit,
  PermitGate,
  type PermitRejection,
} from "./permit_gate.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Limits only the requests that this daemon itself sends to a target. It is the
 * baseline for measurements of permits that the owner of a target issues.
 */
export class LocalPermitGate extends PermitGate {
  readonly #inFlight = new Map<string, number>();

  override acquire(
    targets: readonly TargetView[],
    context: RequestContext,
  ): Promise<Result<Permit, PermitRejection>> {
    for (const { name } of targets) {
      const inFlight = this.#inFlight.get(name) ?? 0;
      if (inFlight >= context.pool.maxConcurrentPerTarget) continue;
      this.#inFlight.set(name, inFlight + 1);
      return Promise.resolve(ok(this.#createPermit(name)));
    }
    return Promise.resolve(err({ reason: "at-bound" }));
  }

  #createPermit(target: string): Permit {
    let isReleased = false;
    return {
      target,
      start: () => true,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#inFlight.set(target, (this.#inFlight.get(target) ?? 1) - 1);
      },
    };
  }
}
