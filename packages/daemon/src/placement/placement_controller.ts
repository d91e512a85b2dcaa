import {
  DEFAULT_MAX_TARGETS,
  FlapDamper,
  type PlacementPolicy,
  PoolView,
  RendezvousPolicy,
  type TimerService,
} from "@coltsfootford/core";
import type {
  Blackboard,
  CancelSubscription,
  TargetView,
} from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import type { RequestContext } from "../entry/index.ts";

const PROBATION_CHECK_MS = 5_000;

/** Dependencies of a `PlacementController`. */
export interface PlacementControllerDependencies {
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly policy?: PlacementPolicy;
}

/**
 * Orders the targets of a pool for each request. Reads `targets` and
 * `targetLoads`, writes no field.
 */
export class PlacementController extends Controller {
  override readonly name = "placement";
  readonly #dependencies: PlacementControllerDependencies;
  readonly #policy: PlacementPolicy;
  readonly #damper = new FlapDamper();
  readonly #cancelSubscriptions: CancelSubscription[] = [];
  #live = new Set<string>();
  #views = new Map<string, PoolView>();

  constructor(dependencies: PlacementControllerDependencies) {
    super();
    this.#dependencies = dependencies;
    this.#policy = dependencies.policy ?? new RendezvousPolicy();
  }

  override start(): Promise<void> {
    const { blackboard, timer } = this.#dependencies;
    this.#cancelSubscriptions.push(
      blackboard.targets.subscribe(() => this.#onTargetsChanged()),
      blackboard.targetLoads.subscribe((loads) => this.#applyLoads(loads)),
      timer.every(PROBATION_CHECK_MS, () => this.#buildViews()),
    );
    this.#onTargetsChanged();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    for (const cancel of this.#cancelSubscriptions) cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    const nowMs = this.#dependencies.timer.nowMs();
    const pools: Record<string, unknown> = {};
    for (const [pool, view] of this.#views) {
      pools[pool] = {
        targets: view.targets.length,
        meanLoadRequests: view.meanLoadRequests(),
        onProbation: view.targets.map((target) => target.name)
          .filter((name) => this.#damper.isOnProbation(name, nowMs)),
      };
    }
    return { policy: this.#policy.name, pools };
  }

  /** Returns the live targets of the request's pool, best first. */
  orderTargets(context: RequestContext): TargetView[] {
    const view = this.#views.get(context.pool.name);
    if (!view) return [];
    const names = this.#policy.orderTargets({
      chatKey: context.chatKey,
      availabilityZone: this.#dependencies.availabilityZone,
      reuseWeight: context.route.reuseWeight,
      crossZonePenalty: context.route.crossZonePenalty,
      maxTargets: DEFAULT_MAX_TARGETS,
    }, view);
    const targets = this.#dependencies.blackboard.targets.read();
    return names.flatMap((name) => targets.get(name) ?? []);
  }

  /** Records departures and returns of targets, then rebuilds the views. */
  #onTargetsChanged(): void {
    const nowMs = this.#dependencies.timer.nowMs();
    const live = new Set<string>();
    for (
      const target of this.#dependencies.blackboard.targets.read().values()
    ) {
      if (target.state === "live") live.add(target.name);
      // An announced departure does not count as a flap.
      else if (target.state === "leaving") this.#live.delete(target.name);
    }
    for (const name of this.#live) {
      if (!live.has(name)) this.#damper.recordDeparture(name, nowMs);
    }
    for (const name of live) {
      if (!this.#live.has(name)) this.#damper.recordReturn(name, nowMs);
    }
    this.#live = live;
    this.#buildViews();
  }

  #buildViews(): void {
    const { blackboard, timer } = this.#dependencies;
    const nowMs = timer.nowMs();
    const loads = blackboard.targetLoads.read();
    const byPool = new Map<string, TargetView[]>();
    for (const target of blackboard.targets.read().values()) {
      if (target.state !== "live") continue;
      const targets = byPool.get(target.pool) ?? [];
      targets.push(target);
      byPool.set(target.pool, targets);
    }
    this.#views = new Map();
    for (const [pool, targets] of byPool) {
      const view = new PoolView(targets.map((target) => ({
        name: target.name,
        availabilityZone: target.availabilityZone,
        loadRequests: loads.get(target.name) ?? 0,
        onProbation: this.#damper.isOnProbation(target.name, nowMs),
      })));
      this.#views.set(pool, view);
    }
  }

  #applyLoads(loads: ReadonlyMap<string, number>): void {
    for (const view of this.#views.values()) {
      for (const { name } of view.targets) {
        view.setLoad(name, loads.get(name) ?? 0);
      }
    }
  }
}
