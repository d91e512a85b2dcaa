import {
  chooseTarget,
  excludeAfterDenial,
  findUnreachableZones,
  isOverloadedAlternative,
  type Placement,
} from "@coltsfootford/core";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";

/** Longest wait for a permit; longer than the cost of most other targets. */
const MAX_PERMIT_WAIT_MS = 1_000;
/** Share of the remaining time that a request waits for a permit. */
const MAX_WAIT_SHARE = 1 / 3;

/** Receives the result of a `TargetSelection`. */
export interface SelectionListener {
  /** The request may be sent to the target now. */
  onSelected(placement: Placement): void;
  /** No target may take the request; one might after `retryAfterMs`. */
  onNone(reason: string, retryAfterMs: number): void;
}

/**
 * Selects the target of one attempt. Where the cheapest target names a limit,
 * the request needs a permit. It waits for it as long as the next best target
 * costs more.
 */
export class TargetSelection {
  readonly #accepted: AcceptedRequest;
  readonly #dependencies: ForwarderDependencies;
  readonly #listener: SelectionListener;
  readonly #timeLeftMs: () => number;
  /** Targets that are not considered. */
  #excluded: ReadonlySet<string>;
  #denials = 0;
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
      return this.#listener.onSelected(placement);
    }
    void this.#requestPermit(placement);
  }

  /** Ends the selection without a result. */
  cancel(): void {
    this.#isCancelled = true;
    this.#cancelWait();
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

  /**
   * While the request waited for the permit, the target may have left or turned
   * requests away, or its zone may have been evacuated.
   */
  #onPermitDue(placement: Placement): void {
    if (this.#isCancelled) return;
    const { target, record } = placement.candidate;
    const { pool, timer, evacuatedZones } = this.#dependencies;
    const isUsable = pool.find(target.incarnation) &&
      !evacuatedZones().has(target.availabilityZone);
    if (isUsable && record.isTaking(timer.nowMs())) {
      return this.#listener.onSelected(placement);
    }
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
      return this.#listener.onNone("zones evacuated", 0);
    }
    const waitsMs = usable
      .map(({ record: { permitFromMs, awayUntilMs } }) =>
        Math.max(0, permitFromMs - nowMs, awayUntilMs - nowMs)
      );
    const retryAfterMs = waitsMs.length > 0 ? Math.min(...waitsMs) : 0;
    const reason = this.#denials === 0 ? "no target" : "limits used up";
    this.#listener.onNone(reason, retryAfterMs);
  }
}
