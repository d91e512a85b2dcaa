import {
  type OwnedTargetView,
  OwnerTable,
  type PermitMessage,
  PermitNode,
  type PermitNodeOptions,
  type PermitRequestOutcome,
  type PermitView,
} from "@coltsfootford/core";
import { DaemonTimer } from "./daemon_timer.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import type { World } from "./world.ts";

/** The only pool of a replay. */
export const POOL = "writers";

/** Timer periods of a replayed daemon. */
const TICK_PERIOD_MS = 100;
const POLL_PERIOD_MS = 500;
/** Upper bound of a report's age when the owner reads the report. */
const MAX_REPORT_LAG_MS = 300;
/** Age up to which a target counts as new. */
const NEW_TARGET_MAX_AGE_MS = 60_000;

/** Runs core's `PermitNode` on a replayed daemon and its lagging view. */
export class ReplayNode {
  readonly daemon: FakeDaemon;
  readonly permits: PermitNode;
  readonly #world: World;
  readonly #timer: DaemonTimer;
  readonly #owners = new OwnerTable();
  /** Version of the view at the last update of `#owners`. */
  #ownersVersion = -1;
  /** Version of the view at the last update of the owned targets. */
  #ownedVersion = -1;

  constructor(
    daemon: FakeDaemon,
    world: World,
    options: PermitNodeOptions,
    send: (to: string, message: PermitMessage) => void,
  ) {
    this.daemon = daemon;
    this.#world = world;
    this.#timer = new DaemonTimer(world.heap, daemon);
    this.permits = new PermitNode({
      name: daemon.name,
      timer: this.#timer,
      view: this.#createView(),
      send,
      options,
    });
  }

  /** Starts the daemon's timers. */
  start(): void {
    this.#tick();
    this.#timer.every(TICK_PERIOD_MS, () => this.#tick());
    this.#timer.every(POLL_PERIOD_MS, () => this.#pollTargets());
  }

  /** Requests a permit for one of the targets from their owners. */
  requestPermit(
    order: readonly string[],
    waitMs: number,
    onOutcome: (outcome: PermitRequestOutcome) => void,
  ): void {
    this.permits.requestAnyPermit(order, waitMs, (outcome) => {
      if (typeof outcome === "string") return onOutcome(outcome);
      const end = () => this.daemon.run(outcome.end);
      onOutcome({ ...outcome, end });
    });
  }

  receive(from: string, message: PermitMessage): void {
    this.permits.receive(from, message);
    for (const target of this.permits.ownedTargets.targetNames()) {
      this.#updateServing(target);
    }
  }

  /** Removes the owned targets from the pool, because their owner is gone. */
  stopServing(): void {
    for (const target of this.permits.ownedTargets.targetNames()) {
      const engine = this.#world.engine(target);
      if (engine) engine.isServing = false;
    }
  }

  onPeerReconnected(peer: string): void {
    const targets = this.daemon.view.targets().map((target) => target.name);
    this.permits.onPeerReconnected(peer, targets);
  }

  #createView(): PermitView {
    const { view } = this.daemon;
    return {
      ownerOf: (target) => this.#ownerOf(target),
      holders: () => view.possibleHolders(this.#world.heap.nowMs),
      otherOwners: () => this.#otherOwners(),
      mayOwn: () => true,
    };
  }

  /** The owner of a target according to this daemon's view. */
  #ownerOf(target: string): string | undefined {
    this.#updateOwners();
    const known = this.daemon.view.target(target);
    return known && this.#owners.ownerOf({ ...known, pool: POOL })?.vm;
  }

  #updateOwners(): void {
    const { view } = this.daemon;
    if (this.#ownersVersion === view.version) return;
    this.#ownersVersion = view.version;
    const targets = view.targets().map((it) => ({ ...it, pool: POOL }));
    const daemons = [...view.daemons()].map(([vm, availabilityZone]) => ({
      vm,
      availabilityZone,
    }));
    this.#owners.update(targets, daemons);
  }

  #otherOwners(): readonly string[] {
    const names = new Set<string>();
    for (const target of this.daemon.view.targets()) {
      const owner = this.#ownerOf(target.name);
      if (owner && owner !== this.daemon.name) names.add(owner);
    }
    return [...names];
  }

  #tick(): void {
    this.#updateOwnership();
    this.permits.tick();
    for (const target of this.permits.ownedTargets.targetNames()) {
      this.#updateServing(target);
    }
  }

  /** Updates the pools and the owned targets when the view has changed. */
  #updateOwnership(): void {
    if (this.#ownedVersion === this.daemon.view.version) return;
    this.#ownedVersion = this.daemon.view.version;
    const { options } = this.#world;
    this.permits.setPools([{
      name: POOL,
      loadFactor: options.loadFactor,
      maxConcurrentPerTarget: options.maxConcurrentPerTarget,
      servingTargets: this.daemon.view.targetCount,
    }]);
    for (const target of this.permits.ownedTargets.targetNames()) {
      const engine = this.#world.engine(target);
      if (engine && !this.daemon.view.target(target)) engine.isServing = false;
    }
    this.permits.setOwned(this.#ownedTargets());
  }

  #ownedTargets(): OwnedTargetView[] {
    const nowMs = this.#world.heap.nowMs;
    return this.daemon.view.targets()
      .filter((target) => this.#ownerOf(target.name) === this.daemon.name)
      .map(({ name, startedAtMs }) => {
        const isNew = startedAtMs !== undefined &&
          nowMs - startedAtMs < NEW_TARGET_MAX_AGE_MS;
        return { name, pool: POOL, isNew, isLeaving: false };
      });
  }

  /** Adds a target to the pool once its owner grants permits. */
  #updateServing(target: string): void {
    const engine = this.#world.engine(target);
    if (!engine?.isUp || engine.isServing || engine.isLeaving) return;
    const nowMs = this.#world.heap.nowMs;
    if (this.permits.ownedTargets.isGranting(target, nowMs)) {
      engine.isServing = true;
    }
  }

  #pollTargets(): void {
    const nowMs = this.#world.heap.nowMs;
    const { network } = this.#world;
    for (const target of this.permits.ownedTargets.targetNames()) {
      const engine = this.#world.engine(target);
      if (!engine?.isUp) continue;
      const zone = engine.availabilityZone;
      if (!network.isLinked(this.daemon.availabilityZone, zone)) continue;
      this.permits.onTargetReport(target, {
        loadRequests: engine.lastReport().loadRequests,
        measuredAtMs: nowMs - MAX_REPORT_LAG_MS,
      });
    }
  }
}
