import { TargetAbsences, type TimerService } from "@coltsfootford/core";
import type { AdmissionTicket } from "../admission/index.ts";
import type { Blackboard, TargetView } from "../blackboard/index.ts";
import type { Logger } from "../log/index.ts";
import type { PoisonController, ReleaseIsolation } from "../poison/index.ts";
import type { Permit, PermitGate } from "./permit_gate.ts";
import type { RequestContext } from "./request_context.ts";
import { UnreachableTargets } from "./unreachable_targets.ts";
import type { TargetOrder } from "./target_order.ts";

/** Shortest and longest backoff after a pass in which no target had capacity. */
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 80;
/** Maximum number of targets that one pass requests a permit for. */
const MAX_TARGETS_PER_PASS = 16;
/**
 * Retry interval for a suspect. It is longer than the backoff because each pass
 * sends isolation requests to other daemons.
 */
const SUSPECT_RETRY_MS = 100;
const MAX_ISOLATION_REQUESTS = 3;
/** A longer wait for a target is logged once per request. */
const LONG_WAIT_MS = 5_000;

/** A target with the permit to send the request to it. */
export interface SelectedTarget {
  readonly target: TargetView;
  readonly permit: Permit;
  /** Ends the isolation of the target; set for suspects only. */
  readonly endIsolation?: ReleaseIsolation;
}

/** The result of the target selection. */
export type Selection =
  | { readonly kind: "selected"; readonly selected: SelectedTarget }
  /** The request was aborted before a target was free. */
  | { readonly kind: "aborted" }
  /** All targets of the pool asked to be left alone. */
  | { readonly kind: "away"; readonly retryAfterMs: number };

/** The input of the target selection. */
export interface TargetQuery {
  readonly context: RequestContext;
  readonly ticket: AdmissionTicket;
  /** Targets of failed attempts; they are used only if no other is left. */
  readonly attemptedTargets: ReadonlySet<string>;
  /** Whether the request must execute on a target without other suspects. */
  readonly isSuspect: boolean;
}

export interface TargetSelectorDependencies {
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly permitGate: PermitGate;
  readonly poison: PoisonController;
  readonly placement: TargetOrder;
  readonly logger: Logger;
}

/** Selects the most preferred target for which a permit is granted. */
export class TargetSelector {
  readonly #dependencies: TargetSelectorDependencies;
  readonly #unreachable: UnreachableTargets;
  readonly #absences = new TargetAbsences();
  readonly #wakeUps = new Set<() => void>();
  /** Why the last permit request was rejected, for the log. */
  #lastRejectionReason = "";

  constructor(dependencies: TargetSelectorDependencies) {
    this.#dependencies = dependencies;
    this.#unreachable = new UnreachableTargets(dependencies.timer);
    dependencies.blackboard.targets.subscribe((targets) => {
      for (const name of [...this.#absences.targets]) {
        const state = targets.get(name)?.state ?? "dead";
        if (state === "dead") this.#absences.forget(name);
      }
    });
  }

  /** Waits for a target, unless all targets are away. */
  async select(query: TargetQuery): Promise<Selection> {
    const { context, ticket, isSuspect } = query;
    // A suspect waits for a target without other suspects. That is no sign that
    // the pool lacks capacity, so it does not hold back other requests.
    if (isSuspect) ticket.setBlocked(false);
    const startedAtMs = this.#dependencies.timer.nowMs();
    let hasLoggedLongWait = false;
    for (let pass = 0; !context.signal.aborted; pass++) {
      const retryAfterMs = this.#firstReturnMs(context);
      if (retryAfterMs !== undefined) {
        ticket.setBlocked(false);
        return { kind: "away", retryAfterMs };
      }
      const selected = await this.#selectNow(query, pass);
      if (selected) {
        ticket.setBlocked(false);
        return { kind: "selected", selected };
      }
      if (!isSuspect) ticket.setBlocked(true);
      const waitedMs = this.#dependencies.timer.nowMs() - startedAtMs;
      if (waitedMs >= LONG_WAIT_MS && !hasLoggedLongWait) {
        hasLoggedLongWait = true;
        this.#logLongWait(query, waitedMs);
      }
      await this.#wait(isSuspect ? SUSPECT_RETRY_MS : backoffMs(pass));
    }
    return { kind: "aborted" };
  }

  #firstReturnMs(context: RequestContext): number | undefined {
    const { placement, timer } = this.#dependencies;
    const names = placement.orderTargets(context).map(({ name }) => name);
    return this.#absences.firstReturnMs(names, timer.nowMs());
  }

  #logLongWait(query: TargetQuery, waitedMs: number): void {
    const { context, isSuspect, attemptedTargets } = query;
    const order = this.#dependencies.placement.orderTargets(context);
    this.#dependencies.logger.event("placeWaitLong", {
      requestId: context.requestId,
      pool: context.pool.name,
      waitedMs,
      isSuspect,
      lastRefusal: this.#lastRejectionReason,
      order: order.map((target) => target.name),
      tried: [...attemptedTargets],
    });
  }

  /** Wakes all waiting selections, because a permit was released. */
  onPermitReleased(): void {
    for (const wake of [...this.#wakeUps]) wake();
  }

  /** Excludes a target from selection for a short time. */
  recordUnreachable(target: TargetView): void {
    this.#unreachable.record(target.name);
  }

  /** Excludes a target that asked to be left alone for `forMs`. */
  recordAbsence(target: TargetView, forMs: number): void {
    this.#absences.record(target.name, forMs, this.#dependencies.timer.nowMs());
  }

  async #selectNow(
    query: TargetQuery,
    pass: number,
  ): Promise<SelectedTarget | undefined> {
    const { context, attemptedTargets } = query;
    const { placement, timer } = this.#dependencies;
    const nowMs = timer.nowMs();
    const all = placement.orderTargets(context).filter(({ name }) =>
      !this.#absences.isAway(name, nowMs)
    );
    const unattempted = all.filter((target) =>
      !attemptedTargets.has(target.name)
    );
    const candidates = (unattempted.length > 0 ? unattempted : all)
      .filter((target) => !this.#unreachable.has(target.name));
    if (!query.isSuspect) {
      return await this.#acquireFirst(chooseBatch(candidates, pass), context);
    }
    for (const target of candidates.slice(0, MAX_ISOLATION_REQUESTS)) {
      const selected = await this.#acquireIsolated(target, context);
      if (selected) return selected;
    }
    return undefined;
  }

  async #acquireIsolated(
    target: TargetView,
    context: RequestContext,
  ): Promise<SelectedTarget | undefined> {
    const { poison, timer } = this.#dependencies;
    const endIsolation = await poison.isolation.acquire(
      target.name,
      context.requestId,
      context.deadlineAtMs - timer.nowMs(),
    );
    if (!endIsolation) return undefined;
    const selected = await this.#acquireFirst([target], context);
    if (!selected) {
      endIsolation();
      return undefined;
    }
    return { ...selected, endIsolation };
  }

  async #acquireFirst(
    candidates: readonly TargetView[],
    context: RequestContext,
  ): Promise<SelectedTarget | undefined> {
    const result = await this.#dependencies.permitGate.acquire(
      candidates,
      context,
    );
    if (result.isErr()) {
      this.#lastRejectionReason = result.error.reason;
      return undefined;
    }
    const permit = result.value;
    const target = candidates.find((it) => it.name === permit.target);
    if (target) return { target, permit };
    permit.release();
    return undefined;
  }

  /** Waits for `durationMs` or until this daemon releases a permit. */
  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        cancel();
        this.#wakeUps.delete(wake);
        resolve();
      };
      const cancel = this.#dependencies.timer.after(durationMs, wake);
      this.#wakeUps.add(wake);
    });
  }
}

/** Exponential backoff, which bounds the permit requests to a full pool. */
function backoffMs(pass: number): number {
  return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(pass, 10));
}

/** The targets of this pass; consecutive passes advance through the order. */
function chooseBatch(
  candidates: readonly TargetView[],
  pass: number,
): readonly TargetView[] {
  if (candidates.length <= MAX_TARGETS_PER_PASS) return candidates;
  const start = (pass * MAX_TARGETS_PER_PASS) % candidates.length;
  return candidates.slice(start, start + MAX_TARGETS_PER_PASS);
}
