import { err, ok, type Result } from "neverthrow";
import type { TargetView } from "../blackboard/index.ts";
import { type Permit, PermitGate, type PermitRefusal } from "./permit_gate.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Counts this daemon's own requests only. It is the baseline against which
 * permits of a keeper are measured.
 */
export class LocalPermitGate extends PermitGate {
  readonly #running = new Map<string, number>();

  override acquire(
    targets: readonly TargetView[],
    context: RequestContext,
  ): Promise<Result<Permit, PermitRefusal>> {
    for (const { name } of targets) {
      const running = this.#running.get(name) ?? 0;
      if (running >= context.pool.maxConcurrentPerTarget) continue;
      this.#running.set(name, running + 1);
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
        this.#running.set(target, (this.#running.get(target) ?? 1) - 1);
      },
    };
  }
}
