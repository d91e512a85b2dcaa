import { maxLoadRequests } from "@coltsfootford/core";
import { RandomSource } from "../load/index.ts";
import { EventHeap } from "./event_heap.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { type EngineOptions, FakeEngine } from "./fake_engine.ts";
import { FakeNetwork } from "./fake_network.ts";
import { daemonName, targetName } from "./faults.ts";

/** Sizes, delays and limits of a replayed fleet. */
export interface WorldOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly zoneDelayMs: number;
  readonly daemons: number;
  readonly targets: number;
  readonly loadFactor: number;
  readonly maxConcurrentPerTarget: number;
  readonly lossProbability: number;
  readonly engine: EngineOptions;
}

const SAME_ZONE_DELAY_MS = 0.3;
const JITTER_RATIO = 0.3;
const RETRANSMIT_MS = 200;
const LOAD_RECORD_PERIOD_MS = 250;
/** Time after a cut or its end in which the views of the daemons change. */
const CUT_TRANSITION_MS = 3_000;

/** The true state of a replayed fleet: targets, daemons and links. */
export class World {
  readonly options: WorldOptions;
  readonly heap = new EventHeap();
  readonly random: RandomSource;
  readonly network: FakeNetwork;
  readonly #engines = new Map<string, FakeEngine>();
  readonly #daemons = new Map<string, FakeDaemon>();
  #transitionEndsAtMs = -Infinity;
  /**
   * The zone whose cut healed last; views reflect the healing with a lag.
   * Undefined if no cut has healed since the last cut.
   */
  #lastHealedZone: string | undefined;

  constructor(options: WorldOptions) {
    this.options = options;
    this.random = new RandomSource(options.seed);
    this.network = new FakeNetwork(this.heap, this.random, {
      sameZoneDelayMs: SAME_ZONE_DELAY_MS,
      otherZoneDelayMs: options.zoneDelayMs,
      jitterRatio: JITTER_RATIO,
      lossProbability: options.lossProbability,
      retransmitMs: RETRANSMIT_MS,
    });
    const zoneOf = (index: number) =>
      options.zones[index % options.zones.length]!;
    for (let index = 0; index < options.targets; index++) {
      this.addEngine(targetName(index), zoneOf(index)).isServing = true;
    }
    for (let index = 0; index < options.daemons; index++) {
      this.addDaemon(daemonName(index), zoneOf(index));
    }
    this.#recordLoadsPeriodically();
  }

  addEngine(name: string, availabilityZone: string): FakeEngine {
    const engine = new FakeEngine(
      name,
      availabilityZone,
      this.heap,
      this.options.engine,
    );
    this.#engines.set(name, engine);
    return engine;
  }

  addDaemon(name: string, availabilityZone: string): FakeDaemon {
    const daemon = new FakeDaemon(name, availabilityZone);
    this.#daemons.set(name, daemon);
    return daemon;
  }

  engine(name: string): FakeEngine | undefined {
    return this.#engines.get(name);
  }

  engines(): readonly FakeEngine[] {
    return [...this.#engines.values()];
  }

  daemon(name: string): FakeDaemon | undefined {
    return this.#daemons.get(name);
  }

  daemons(): readonly FakeDaemon[] {
    return [...this.#daemons.values()];
  }

  /** Daemons that the load balancer sends requests to. */
  readyDaemons(): readonly FakeDaemon[] {
    return this.daemons().filter((daemon) => daemon.isReady);
  }

  /**
   * Sums the load of the serving targets; with `linkedWith` only of the targets
   * in zones that this zone can reach.
   */
  poolLoadRequests(linkedWith?: string): number {
    let sumRequests = 0;
    for (const engine of this.#pool(linkedWith)) {
      sumRequests += engine.loadRequests;
    }
    return sumRequests;
  }

  poolSize(linkedWith?: string): number {
    return this.#pool(linkedWith).length;
  }

  /** Cuts a zone off from the others, or heals the cut. */
  setCut(zone: string, isCut: boolean): void {
    this.network.setCut(zone, isCut);
    this.#lastHealedZone = isCut ? undefined : zone;
    this.#transitionEndsAtMs = this.heap.nowMs + CUT_TRANSITION_MS;
  }

  /**
   * The load bound of the engine before another request is added, computed over
   * the targets that its zone can reach. While the views of the daemons still
   * change after a cut or its end, the bound of the pool before the change is
   * allowed as well.
   */
  allowedLoadRequests(engine: FakeEngine): number {
    const linkedWith = engine.availabilityZone;
    const reachable = maxLoadRequests(
      this.options.loadFactor,
      this.poolLoadRequests(linkedWith),
      this.poolSize(linkedWith),
    );
    if (this.heap.nowMs >= this.#transitionEndsAtMs) return reachable;
    const before = this.#poolBeforeTransition(linkedWith);
    const allowedBefore = maxLoadRequests(
      this.options.loadFactor,
      before.reduce((sum, target) => sum + target.loadRequests, 0),
      before.length,
    );
    return Math.max(reachable, allowedBefore);
  }

  #poolBeforeTransition(availabilityZone: string): readonly FakeEngine[] {
    const pool = this.#pool(undefined);
    const healed = this.#lastHealedZone;
    if (healed === undefined) return pool;
    return pool.filter((engine) =>
      (engine.availabilityZone === healed) === (availabilityZone === healed)
    );
  }

  #pool(linkedWith: string | undefined): readonly FakeEngine[] {
    const pool: FakeEngine[] = [];
    for (const engine of this.#engines.values()) {
      if (!engine.isInPool) continue;
      const isLinked = linkedWith === undefined ||
        this.network.isLinked(linkedWith, engine.availabilityZone);
      if (isLinked) pool.push(engine);
    }
    return pool;
  }

  #recordLoadsPeriodically(): void {
    for (const engine of this.#engines.values()) engine.recordLoad();
    this.heap.after(
      LOAD_RECORD_PERIOD_MS,
      () => this.#recordLoadsPeriodically(),
    );
  }
}
