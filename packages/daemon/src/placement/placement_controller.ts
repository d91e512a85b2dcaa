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

/** What a `PlacementController` is built from. */
export interface PlacementControllerParts {
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly policy?: PlacementPolicy;
}

/**
 * Orders the targets of a pool for each request. It reads `targets` and
 * `targetLoads` and writes no field.
 */
export class PlacementController extends Controller {
  override readonly name = "placement";
  readonly #parts: PlacementControllerParts;
  readonly #policy: PlacementPolicy;
  readonly #damper = new FlapDamper();
  readonly #cancels: CancelSubscription[] = [];
  #served = new Set<string>();
  #views = new Map<string, PoolView>();

  constructor(parts: PlacementControllerParts) {
    super();
    this.#parts = parts;
    this.#policy = parts.policy ?? new RendezvousPolicy();
  }

  override start(): Promise<void> {
    const { blackboard, timer } = this.#parts;
    this.#cancels.push(
      blackboard.targets.subscribe(() => this.#noteTargets()),
      blackboard.targetLoads.subscribe((loads) => this.#noteLoads(loads)),
      timer.every(PROBATION_CHECK_MS, () => this.#buildViews()),
    );
    this.#noteTargets();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    for (const cancel of this.#cancels) cancel();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    const nowMs = this.#parts.timer.nowMs();
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

  /** The serving targets of the request's pool, best first. */
  orderTargets(context: RequestContext): TargetView[] {
    const view = this.#views.get(context.pool.name);
    if (!view) return [];
    const names = this.#policy.orderTargets({
      chatKey: context.chatKey,
      availabilityZone: this.#parts.availabilityZone,
      reuseWeight: context.route.reuseWeight,
      crossZonePenalty: context.route.crossZonePenalty,
      maxTargets: DEFAULT_MAX_TARGETS,
    }, view);
    const targets = this.#parts.blackboard.targets.read();
    return names.flatMap((name) => targets.get(name) ?? []);
  }

  /** Notes departures and returns of targets, then builds the views anew. */
  #noteTargets(): void {
    const nowMs = this.#parts.timer.nowMs();
    const serving = new Set<string>();
    for (const target of this.#parts.blackboard.targets.read().values()) {
      if (target.state === "live") serving.add(target.name);
      // An announced departure is no flap.
      else if (target.state === "leaving") this.#served.delete(target.name);
    }
    for (const name of this.#served) {
      if (!serving.has(name)) this.#damper.noteDeparture(name, nowMs);
    }
    for (const name of serving) {
      if (!this.#served.has(name)) this.#damper.noteReturn(name, nowMs);
    }
    this.#served = serving;
    this.#buildViews();
  }

  #buildViews(): void {
    const { blackboard, timer } = this.#parts;
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

  #noteLoads(loads: ReadonlyMap<string, number>): void {
    for (const view of this.#views.values()) {
      for (const { name } of view.targets) {
        view.setLoad(name, loads.get(name) ?? 0);
      }
    }
  }
}
