import type { TimerService } from "@coltsfootford/core";
import type { AdmissionTicket } from "../admission/index.ts";
import type { Blackboard, TargetView } from "../blackboard/index.ts";
import type { Logger } from "../log/index.ts";
import type { PoisonController, ReleaseIsolation } from "../poison/index.ts";
import type { Permit, PermitGate } from "./permit_gate.ts";
import type { RequestContext } from "./request_context.ts";
import { UnreachableTargets } from "./unreachable_targets.ts";
import type { TargetOrder } from "./target_order.ts";

/** First and longest pause after all targets that were asked were full. */
const MIN_PAUSE_MS = 10;
const MAX_PAUSE_MS = 80;
/** Most targets that are asked before a pause. */
const MAX_ASKED_TARGETS = 16;
/** A suspect asks other daemons for a target, so it asks less often. */
const SUSPECT_WAIT_MS = 100;
const MAX_ISOLATION_ASKS = 3;
/** A longer wait for a place is logged once for a request. */
const LONG_WAIT_MS = 5_000;

/** A target that may take the request, with the permit for it. */
export interface Place {
  readonly target: TargetView;
  readonly permit: Permit;
  /** Lets the next suspect run on the target; set for suspects only. */
  readonly endIsolation?: ReleaseIsolation;
}

/** What a search for a place depends on. */
export interface PlaceQuestion {
  readonly context: RequestContext;
  readonly ticket: AdmissionTicket;
  /** Targets that failed the request; they come last. */
  readonly tried: ReadonlySet<string>;
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
  readonly logger: Logger;
}

/** Finds the first target in order that gives a permit. */
export class PlaceFinder {
  readonly #parts: PlaceFinderParts;
  readonly #unreachable: UnreachableTargets;
  readonly #waiting = new Set<() => void>();
  /** Why the last search in vain had no place, for the log. */
  #lastRefusal = "";

  constructor(parts: PlaceFinderParts) {
    this.#parts = parts;
    this.#unreachable = new UnreachableTargets(parts.timer);
  }

  /** Waits for a place; undefined once the request has been aborted. */
  async find(question: PlaceQuestion): Promise<Place | undefined> {
    const { context, ticket, isSuspect } = question;
    // A suspect waits for a target of its own, which says nothing about room
    // for others, so these need not wait for it.
    if (isSuspect) ticket.setBlocked(false);
    const startedAtMs = this.#parts.timer.nowMs();
    let isReported = false;
    for (let pass = 0; !context.signal.aborted; pass++) {
      const place = await this.#findNow(question, pass);
      if (place) {
        ticket.setBlocked(false);
        return place;
      }
      if (!isSuspect) ticket.setBlocked(true);
      const waitedMs = this.#parts.timer.nowMs() - startedAtMs;
      if (waitedMs >= LONG_WAIT_MS && !isReported) {
        isReported = true;
        this.#reportLongWait(question, waitedMs);
      }
      await this.#wait(isSuspect ? SUSPECT_WAIT_MS : pauseMs(pass));
    }
    return undefined;
  }

  #reportLongWait(question: PlaceQuestion, waitedMs: number): void {
    const { context, isSuspect, tried } = question;
    const order = this.#parts.placement.orderTargets(context);
    this.#parts.logger.event("placeWaitLong", {
      requestId: context.requestId,
      pool: context.pool.name,
      waitedMs,
      isSuspect,
      lastRefusal: this.#lastRefusal,
      order: order.map((target) => target.name),
      tried: [...tried],
    });
  }

  /** Lets the searches look again, after a place was given back. */
  noteRelease(): void {
    for (const wake of [...this.#waiting]) wake();
  }

  /** Notes that a target could not be reached, so that it is left alone. */
  noteUnreachable(target: TargetView): void {
    this.#unreachable.note(target.name);
  }

  async #findNow(
    question: PlaceQuestion,
    pass: number,
  ): Promise<Place | undefined> {
    const { context, tried } = question;
    const all = this.#parts.placement.orderTargets(context);
    const untried = all.filter((target) => !tried.has(target.name));
    const candidates = (untried.length > 0 ? untried : all)
      .filter((target) => !this.#unreachable.has(target.name));
    if (!question.isSuspect) {
      return await this.#takeFirst(chooseAsked(candidates, pass), context);
    }
    for (const target of candidates.slice(0, MAX_ISOLATION_ASKS)) {
      const place = await this.#takeIsolated(target, context);
      if (place) return place;
    }
    return undefined;
  }

  async #takeIsolated(
    target: TargetView,
    context: RequestContext,
  ): Promise<Place | undefined> {
    const { poison, timer } = this.#parts;
    const endIsolation = await poison.isolation.acquire(
      target.name,
      context.requestId,
      context.deadlineAtMs - timer.nowMs(),
    );
    if (!endIsolation) return undefined;
    const place = await this.#takeFirst([target], context);
    if (!place) {
      endIsolation();
      return undefined;
    }
    return { ...place, endIsolation };
  }

  async #takeFirst(
    candidates: readonly TargetView[],
    context: RequestContext,
  ): Promise<Place | undefined> {
    const result = await this.#parts.permitGate.acquire(candidates, context);
    if (result.isErr()) {
      this.#lastRefusal = result.error.reason;
      return undefined;
    }
    const permit = result.value;
    const target = candidates.find((it) => it.name === permit.target);
    if (target) return { target, permit };
    permit.release();
    return undefined;
  }

  /** Waits for a time, or until a request of this daemon has ended. */
  #wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        cancel();
        this.#waiting.delete(wake);
        resolve();
      };
      const cancel = this.#parts.timer.after(durationMs, wake);
      this.#waiting.add(wake);
    });
  }
}

/** The pause doubles, so that a full pool is not asked all the time. */
function pauseMs(pass: number): number {
  return Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** Math.min(pass, 10));
}

/** The targets to ask in this pass: the best first, then the next ones. */
function chooseAsked(
  candidates: readonly TargetView[],
  pass: number,
): readonly TargetView[] {
  if (candidates.length <= MAX_ASKED_TARGETS) return candidates;
  const first = (pass * MAX_ASKED_TARGETS) % candidates.length;
  return candidates.slice(first, first + MAX_ASKED_TARGETS);
}
