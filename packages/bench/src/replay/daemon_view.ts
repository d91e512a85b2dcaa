import { type PlacementTarget, PoolView } from "@coltsfootford/core";

/** What a daemon knows of a serving target. */
export interface KnownTarget {
  readonly name: string;
  readonly availabilityZone: string;
  /** When it started, for targets that started beside others. */
  readonly startedAtMs: number | undefined;
  readonly onProbation: boolean;
}

/** How long a daemon that is gone may still hold permits, in ms. */
const LOST_DAEMON_MS = 60_000;

/** The view of one daemon: it lags and differs from the views of others. */
export class DaemonView {
  readonly #targets = new Map<string, KnownTarget>();
  readonly #daemons = new Map<string, string>();
  readonly #lostDaemons = new Map<string, number>();
  #poolView = new PoolView([]);
  #isPoolViewStale = true;
  /** Counts changes that move the roles of keepers. */
  version = 0;

  /** Adds a target or replaces what is known of it. */
  addTarget(target: KnownTarget): void {
    this.#targets.set(target.name, target);
    this.#noteChange();
  }

  removeTarget(name: string): void {
    if (this.#targets.delete(name)) this.#noteChange();
  }

  addDaemon(name: string, availabilityZone: string): void {
    this.#daemons.set(name, availabilityZone);
    this.#lostDaemons.delete(name);
    this.#noteChange();
  }

  removeDaemon(name: string, nowMs: number): void {
    if (!this.#daemons.delete(name)) return;
    this.#lostDaemons.set(name, nowMs);
    this.#noteChange();
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

  /** Names of the live daemons with their zones. */
  daemons(): ReadonlyMap<string, string> {
    return this.#daemons;
  }

  /** Every daemon that may hold permits: live ones and those just lost. */
  possibleHolders(nowMs: number): readonly string[] {
    const holders = [...this.#daemons.keys()];
    for (const [name, lostAtMs] of this.#lostDaemons) {
      if (nowMs - lostAtMs < LOST_DAEMON_MS) holders.push(name);
    }
    return holders;
  }

  /** The serving targets for placement. */
  poolView(): PoolView {
    if (!this.#isPoolViewStale) return this.#poolView;
    const former = this.#poolView;
    const loads = new Map(
      former.targets.map((
        target,
        index,
      ) => [target.name, former.loadAt(index)]),
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

  #noteChange(): void {
    this.version += 1;
    this.#isPoolViewStale = true;
  }
}
