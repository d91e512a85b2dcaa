import { type PlacementTarget, PoolView } from "@coltsfootford/core";

/** A serving target in a daemon's view. */
export interface KnownTarget {
  readonly name: string;
  readonly availabilityZone: string;
  /** Start time of a target that joined a running pool; otherwise undefined. */
  readonly startedAtMs: number | undefined;
  readonly onProbation: boolean;
}

/** How long a lost daemon counts as a possible permit holder, in ms. */
const LOST_HOLDER_RETENTION_MS = 60_000;

/**
 * One daemon's view of targets and peers. Views lag behind the true state and
 * differ between daemons.
 */
export class DaemonView {
  readonly #targets = new Map<string, KnownTarget>();
  readonly #daemons = new Map<string, string>();
  readonly #lostDaemons = new Map<string, number>();
  #poolView = new PoolView([]);
  #isPoolViewStale = true;
  /** Increases with every change that can move the ownership of targets. */
  version = 0;

  /** Adds or replaces a target. */
  addTarget(target: KnownTarget): void {
    this.#targets.set(target.name, target);
    this.#recordChange();
  }

  removeTarget(name: string): void {
    if (this.#targets.delete(name)) this.#recordChange();
  }

  addDaemon(name: string, availabilityZone: string): void {
    this.#daemons.set(name, availabilityZone);
    this.#lostDaemons.delete(name);
    this.#recordChange();
  }

  removeDaemon(name: string, nowMs: number): void {
    if (!this.#daemons.delete(name)) return;
    this.#lostDaemons.set(name, nowMs);
    this.#recordChange();
  }

  target(name: string): KnownTarget | undefined {
    return this.#targets.get(name);
  }

  targets(): readonly KnownTarget[] {
    return [...this.#targets.values()];
  }

  get targetCount(): number {
    return this.#targets.size;
  }

  /** The live daemons: zone by name. */
  daemons(): ReadonlyMap<string, string> {
    return this.#daemons;
  }

  /** Every daemon that may hold permits: live and recently lost daemons. */
  possibleHolders(nowMs: number): readonly string[] {
    const holders = [...this.#daemons.keys()];
    for (const [name, lostAtMs] of this.#lostDaemons) {
      if (nowMs - lostAtMs < LOST_HOLDER_RETENTION_MS) holders.push(name);
    }
    return holders;
  }

  /** The serving targets as input of a placement policy. */
  poolView(): PoolView {
    if (!this.#isPoolViewStale) return this.#poolView;
    const previous = this.#poolView;
    const loads = new Map(
      previous.targets.map((
        target,
        index,
      ) => [target.name, previous.loadAt(index)]),
    );
    this.#poolView = new PoolView(
      this.targets().map((target): PlacementTarget => ({
        name: target.name,
        availabilityZone: target.availabilityZone,
        loadRequests: loads.get(target.name) ?? 0,
        onProbation: target.onProbation,
      })),
    );
    this.#isPoolViewStale = false;
    return this.#poolView;
  }

  #recordChange(): void {
    this.version += 1;
    this.#isPoolViewStale = true;
  }
}
