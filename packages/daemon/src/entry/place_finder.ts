import type { TimerService } from "@coltsfootford/core";
import type { AdmissionTicket } from "../admission/index.ts";
import type { Blackboard, TargetView } from "../blackboard/index.ts";
import type { PoisonController } from "../poison/index.ts";
import type { Permit, PermitGate } from "./permit_gate.ts";
import type { TryHistory } from "./next_try.ts";
import type { RequestContext } from "./request_context.ts";
import type { TargetOrder } from "./target_order.ts";

const FULL_POOL_WAIT_MS = 10;

/** A target that may take the request, with the permit for it. */
export interface Place {
  readonly target: TargetView;
  readonly permit: Permit;
}

/** What a search for a place depends on. */
export interface PlaceQuestion {
  readonly context: RequestContext;
  readonly ticket: AdmissionTicket;
  /** The tries so far; targets that failed the request come last. */
  readonly history: TryHistory;
  /** Whether the request must run apart from other suspects. */
  readonly isSuspect: boolean;
}

/** Parts of the daemon that the search uses. */
export interface PlaceFinderParts {
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly permitGate: PermitGate;
  readonly poison: PoisonController;
  readonly placement: TargetOrder;
}

/** Finds the first target in order that gives a permit. */
export class PlaceFinder {
  readonly #parts: PlaceFinderParts;

  constructor(parts: PlaceFinderParts) {
    this.#parts = parts;
  }

  /** Waits for a place; undefined once the request has been aborted. */
  async find(question: PlaceQuestion): Promise<Place | undefined> {
    const { context, ticket, isSuspect } = question;
    while (!context.signal.aborted) {
      const place = await this.#findNow(question);
      if (place) {
        ticket.setBlocked(false);
        return place;
      }
      // A suspect waits for a target of its own, which says nothing about
      // room for others.
      if (!isSuspect) ticket.setBlocked(true);
      await this.#wait(FULL_POOL_WAIT_MS);
    }
    return undefined;
  }

  async #findNow(question: PlaceQuestion): Promise<Place | undefined> {
    const { context, history } = question;
    const nowMs = this.#parts.timer.nowMs();
    const all = this.#parts.placement.orderTargets(context)
      .filter((target) => !history.isResting(target.name, nowMs));
    const ordered = question.isSuspect ? this.#keepIsolated(all) : all;
    const untried = ordered.filter((target) =>
      !history.targets.has(target.name)
    );
    const candidates = untried.length > 0 ? untried : ordered;
    if (candidates.length === 0) return undefined;
    const result = await this.#parts.permitGate.acquire(candidates, context);
    if (result.isErr()) return undefined;
    const permit = result.value;
    const target = candidates.find((it) => it.name === permit.target);
    if (target) return { target, permit };
    permit.release();
    return undefined;
  }

  #keepIsolated(targets: readonly TargetView[]): TargetView[] {
    const names = targets.map((target) => target.name);
    const isolated = new Set(this.#parts.poison.findIsolatedTargets(names));
    return targets.filter((target) => isolated.has(target.name));
  }

  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.timer.after(durationMs, resolve);
    });
  }
}
