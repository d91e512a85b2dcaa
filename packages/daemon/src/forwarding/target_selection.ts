import {
  chooseTarget,
  excludeAfterDenial,
  findUnreachableZones,
  hash32,
  isOverloadedAlternative,
  type Placement,
} from "@coltsfootford/core";
import type {
  AcceptedRequest,
  ForwarderDependencies,
  RequestedSlot,
} from "./forwarding_types.ts";

/** Longest wait for a permit; longer than the cost of most other targets. */
const MAX_PERMIT_WAIT_MS = 1_000;
/** Share of the remaining time that a request waits for a permit. */
const MAX_WAIT_SHARE = 1 / 3;
/**
 * Longest wait for a slot of the preferred target while there is another one:
 * some executions of a contended service, which take tens of ms.
 */
const PREFERRED_SLOT_WAIT_MS = 250;
/**
 * Longest wait for a slot after a permit. Permits are spaced evenly, and requests
 * that go later than their permits say would exceed the limit of one second.
 */
const MAX_WAIT_AFTER_PERMIT_MS = 50;
/** Targets at which a request asks for a slot; each costs a round trip. */
const MAX_SLOT_REQUESTS = 4;

/** Receives the result of a `TargetSelection`. */
export interface SelectionListener {
  /** The request may be sent to the target now. */
  onSelected(placement: Placement): void;
  /**
   * No target may take the request; one might after `retryAfterMs`. The time is
   * exact where the request was given a turn to return.
   */
  onNone(reason: string, retryAfterMs: number, isExact: boolean): void;
}

/**
 * Selects the target of one attempt. Where the cheapest target names a limit,
 * the request needs a permit. It waits for it as long as the next best target
 * costs more. Where the target is contended, the request also waits for a slot.
 */
export class TargetSelection {
  readonly #accepted: AcceptedRequest;
  readonly #dependencies: ForwarderDependencies;
  readonly #listener: SelectionListener;
  readonly #timeLeftMs: () => number;
  /** Targets that are not considered. */
  #excluded: ReadonlySet<string>;
  #denials = 0;
  /** Whether there was an attempt before; such a request is not held back. */
  readonly #isRetry: boolean;
  #slot: RequestedSlot | undefined;
  #slotRejections = 0;
  /** Times after which targets that rejected the request might take it. */
  readonly #slotRetriesMs: number[] = [];
  #isCancelled = false;
  #cancelWait: () => void = () => {};

  constructor(
    accepted: AcceptedRequest,
    dependencies: ForwarderDependencies,
    attemptedIncarnations: ReadonlySet<string>,
    timeLeftMs: () => number,
    listener: SelectionListener,
  ) {
    this.#accepted = accepted;
    this.#dependencies = dependencies;
    this.#excluded = attemptedIncarnations;
    this.#isRetry = attemptedIncarnations.size > 0;
    this.#timeLeftMs = timeLeftMs;
    this.#listener = listener;
  }

  /** Calls the listener at once, unless the target needs a permit. */
  start(): void {
    const placement = this.#choose();
    if (!placement) return this.#end();
    const { target } = placement.candidate;
    if (!this.#dependencies.limits.isLimited(target)) {
      if (this.#denials > 0 && isOverloadedAlternative(placement)) {
        return this.#end();
      }
      return this.#requestSlot(placement);
    }
    void this.#requestPermit(placement);
  }

  /** Ends the selection without a result, or the use of the selected target. */
  cancel(): void {
    this.#isCancelled = true;
    this.#cancelWait();
    this.#slot?.end();
  }

  #choose(): Placement | undefined {
    const { metadata, route, service, engine, team } = this.#accepted;
    const { pool, timer, placement } = this.#dependencies;
    return chooseTarget({
      prompt: metadata.prompt,
      targetLatencyMs: route.targetLatencyMs,
      rank: team?.rank ?? route.rank,
      attemptedIncarnations: this.#excluded,
      candidates: pool.ofService(service),
      departed: pool.departedOf(service),
      engine,
      cacheEstimates: pool.cacheEstimates,
      unreachableZones: findUnreachableZones(pool.all(), timer.nowMs()),
      evacuatedZones: this.#dependencies.evacuatedZones(),
      requestHash: hash32(metadata.requestId),
      nowMs: timer.nowMs(),
    }, placement());
  }

  async #requestPermit(placement: Placement): Promise<void> {
    const { limits, timer, log } = this.#dependencies;
    const { candidate, costMs, permitWaitMs, runnerUpCostMs } = placement;
    const maxWaitMs = Math.min(
      MAX_PERMIT_WAIT_MS,
      // Negative where the deadline has passed and its timer is due.
      Math.max(0, this.#timeLeftMs()) * MAX_WAIT_SHARE,
      Math.max(0, runnerUpCostMs - costMs + permitWaitMs),
    );
    const permit = await limits.requestPermit(candidate, maxWaitMs);
    if (this.#isCancelled) return;
    if (permit.kind === "granted") {
      this.#cancelWait = timer.after(
        permit.waitMs,
        () => this.#onPermitDue(placement),
      );
      return;
    }
    const { incarnation } = candidate.target;
    log.event("permitDenied", {
      request: this.#accepted.metadata.requestId,
      target: incarnation,
      maxWaitMs: Math.round(maxWaitMs),
    });
    this.#denials += 1;
    const excluded = excludeAfterDenial({
      candidates: this.#dependencies.pool.ofService(this.#accepted.service),
      isLimited: ({ target }) => limits.isLimited(target),
      excluded: new Set([...this.#excluded, incarnation]),
      denials: this.#denials,
    });
    if (!excluded) return this.#end();
    this.#excluded = excluded;
    this.start();
  }

  #onPermitDue(placement: Placement): void {
    if (this.#isCancelled) return;
    if (this.#isUsable(placement)) return this.#requestSlot(placement);
    this.start();
  }

  /**
   * During a wait, the target may have left or turned requests away, or its zone
   * may have been evacuated.
   */
  #isUsable({ candidate: { target, record } }: Placement): boolean {
    const { pool, timer, evacuatedZones } = this.#dependencies;
    return pool.find(target.incarnation) !== undefined &&
      !evacuatedZones().has(target.availabilityZone) &&
      record.isTaking(timer.nowMs());
  }

  #requestSlot(placement: Placement): void {
    const { slots, limits } = this.#dependencies;
    const { candidate, runnerUpCostMs } = placement;
    if (this.#isRetry || !slots.isContended(candidate, this.#accepted)) {
      return this.#listener.onSelected(placement);
    }
    const timeLeftMs = Math.max(0, this.#timeLeftMs());
    const patienceMs = Number.isFinite(runnerUpCostMs)
      ? Math.min(PREFERRED_SLOT_WAIT_MS, timeLeftMs * MAX_WAIT_SHARE)
      : timeLeftMs;
    const maxWaitMs = limits.isLimited(candidate.target)
      ? Math.min(patienceMs, MAX_WAIT_AFTER_PERMIT_MS)
      : patienceMs;
    const slot = slots.requestSlot(candidate, this.#accepted, {
      timeLeftMs,
      maxWaitMs,
    });
    this.#slot = slot;
    void slot.outcome.then((outcome) => {
      if (this.#isCancelled) return;
      if (outcome.kind === "execute") return this.#onSlot(placement, slot);
      const { retryAfterMs } = outcome;
      if (retryAfterMs !== undefined) this.#slotRetriesMs.push(retryAfterMs);
      this.#slotRejections += 1;
      if (this.#slotRejections >= MAX_SLOT_REQUESTS) return this.#end();
      const { incarnation } = candidate.target;
      this.#excluded = new Set([...this.#excluded, incarnation]);
      this.start();
    });
  }

  #onSlot(placement: Placement, slot: RequestedSlot): void {
    if (this.#isUsable(placement)) return this.#listener.onSelected(placement);
    slot.end();
    this.start();
  }

  #end(): void {
    const { pool, timer, metrics, evacuatedZones } = this.#dependencies;
    const nowMs = timer.nowMs();
    const targets = pool.ofService(this.#accepted.service);
    const evacuated = evacuatedZones();
    const usable = targets.filter(({ target }) =>
      !evacuated.has(target.availabilityZone)
    );
    if (targets.length > 0 && usable.length === 0) {
      metrics.count("requests_without_zone_total");
      return this.#listener.onNone("zones evacuated", 0, false);
    }
    if (this.#slotRejections > 0) {
      const hasRetry = this.#slotRetriesMs.length > 0;
      const retryMs = hasRetry ? Math.min(...this.#slotRetriesMs) : 0;
      return this.#listener.onNone("no slot in time", retryMs, hasRetry);
    }
    const waitsMs = usable
      .map(({ record: { permitFromMs, awayUntilMs } }) =>
        Math.max(0, permitFromMs - nowMs, awayUntilMs - nowMs)
      );
    const retryAfterMs = waitsMs.length > 0 ? Math.min(...waitsMs) : 0;
    const reason = this.#denials === 0 ? "no target" : "limits used up";
    this.#listener.onNone(reason, retryAfterMs, false);
  }
}
