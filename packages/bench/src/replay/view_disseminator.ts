import { FlapDamper } from "@coltsfootford/core";
import type { FakeDaemon } from "./fake_daemon.ts";
import type { FakeEngine } from "./fake_engine.ts";
import type { World } from "./world.ts";

/** Range of a random lag. */
interface LagRange {
  readonly lowMs: number;
  readonly highMs: number;
}

const JOIN_LAG: LagRange = { lowMs: 300, highMs: 3_000 };
const LEAVE_LAG: LagRange = { lowMs: 100, highMs: 2_000 };
const DOWN_LAG: LagRange = { lowMs: 500, highMs: 2_000 };
const SUSPICION_LAG: LagRange = { lowMs: 1_500, highMs: 2_500 };
const HEAL_LAG: LagRange = { lowMs: 300, highMs: 1_000 };
const PROBATION_CHECK_PERIOD_MS = 5_000;

/** Receives the changes of a daemon's view of its peers. */
export interface PeerListener {
  onPeerLost(daemon: FakeDaemon, peer: string): void;
  onPeerReconnected(daemon: FakeDaemon, peer: string): void;
}

/** Disseminates changes to the daemons' views, with a random lag per daemon. */
export class ViewDisseminator {
  readonly #world: World;
  readonly #listener: PeerListener;
  readonly #dampers = new Map<string, FlapDamper>();

  constructor(world: World, listener: PeerListener) {
    this.#world = world;
    this.#listener = listener;
  }

  /** Fills the views of all daemons, without lag. */
  fillViews(): void {
    for (const daemon of this.#world.daemons()) this.fillView(daemon);
  }

  /** Fills one view with the live daemons and the serving targets. */
  fillView(daemon: FakeDaemon): void {
    for (const peer of this.#world.daemons()) {
      if (peer.isUp) daemon.view.addDaemon(peer.name, peer.availabilityZone);
    }
    for (const engine of this.#world.engines()) {
      if (engine.isInPool) this.#addTarget(daemon, engine, undefined);
    }
  }

  targetJoined(engine: FakeEngine): void {
    const startedAtMs = this.#world.heap.nowMs;
    this.#disseminate(JOIN_LAG, engine.availabilityZone, (daemon) => {
      if (!engine.isUp || engine.isLeaving) return;
      this.#damperOf(daemon).recordReturn(engine.name, this.#world.heap.nowMs);
      this.#addTarget(daemon, engine, startedAtMs);
    });
  }

  targetLeaving(engine: FakeEngine): void {
    this.#disseminate(LEAVE_LAG, engine.availabilityZone, (daemon) => {
      daemon.view.removeTarget(engine.name);
    });
  }

  targetDown(engine: FakeEngine): void {
    this.#disseminate(DOWN_LAG, engine.availabilityZone, (daemon) => {
      if (engine.isUp) return;
      this.#damperOf(daemon).recordDeparture(
        engine.name,
        this.#world.heap.nowMs,
      );
      daemon.view.removeTarget(engine.name);
    });
  }

  /** Each daemon sees the target as down for `downMs`, with its own lag. */
  targetBlip(engine: FakeEngine, downMs: number): void {
    this.#disseminate(DOWN_LAG, engine.availabilityZone, (daemon) => {
      const known = daemon.view.target(engine.name);
      if (!known) return;
      daemon.view.removeTarget(engine.name);
      this.#world.heap.after(downMs, () =>
        daemon.run(() => {
          if (engine.isUp && !engine.isLeaving) daemon.view.addTarget(known);
        }));
    });
  }

  daemonJoined(joined: FakeDaemon): void {
    this.fillView(joined);
    this.#disseminate(JOIN_LAG, joined.availabilityZone, (daemon) => {
      if (joined.isUp) this.#addPeer(daemon, joined);
    });
  }

  /**
   * Peers see the closed connection after the network delay. The failure
   * detector removes the daemon from their views later.
   */
  daemonKilled(killed: FakeDaemon): void {
    for (const daemon of this.#world.daemons()) {
      this.#world.network.deliver(
        `${killed.name}>${daemon.name}`,
        killed.availabilityZone,
        daemon.availabilityZone,
        () => daemon.run(() => this.#listener.onPeerLost(daemon, killed.name)),
      );
    }
    this.daemonUnresponsive(killed);
  }

  /** Peers remove the daemon after the suspicion lag unless it is ready. */
  daemonUnresponsive(unresponsive: FakeDaemon): void {
    this.#disseminate(
      SUSPICION_LAG,
      unresponsive.availabilityZone,
      (daemon) => {
        if (unresponsive.isReady || daemon === unresponsive) return;
        this.#removePeer(daemon, unresponsive.name);
      },
    );
  }

  daemonResumed(resumed: FakeDaemon): void {
    for (const peer of resumed.view.daemons().keys()) {
      if (peer !== resumed.name) {
        this.#listener.onPeerReconnected(resumed, peer);
      }
    }
    this.#disseminate(HEAL_LAG, resumed.availabilityZone, (daemon) => {
      if (resumed.isReady) this.#addPeer(daemon, resumed);
    });
  }

  /** Every daemon removes the unreachable side of a cut, with its own lag. */
  zoneCut(): void {
    this.#atEachDaemon(SUSPICION_LAG, (daemon) => {
      for (const peer of this.#world.daemons()) {
        if (!this.#canReach(daemon, peer.availabilityZone)) {
          this.#removePeer(daemon, peer.name);
        }
      }
      for (const target of daemon.view.targets()) {
        if (this.#canReach(daemon, target.availabilityZone)) continue;
        daemon.view.removeTarget(target.name);
      }
    });
  }

  zoneHealed(): void {
    this.#atEachDaemon(HEAL_LAG, (daemon) => {
      for (const peer of this.#world.daemons()) {
        if (!this.#canReach(daemon, peer.availabilityZone)) continue;
        if (peer.isReady) this.#addPeer(daemon, peer);
      }
      for (const engine of this.#world.engines()) {
        if (!engine.isInPool) daemon.view.removeTarget(engine.name);
        if (!engine.isInPool || daemon.view.target(engine.name)) continue;
        if (!this.#canReach(daemon, engine.availabilityZone)) continue;
        this.#addTarget(daemon, engine, undefined);
      }
    });
  }

  #addTarget(
    daemon: FakeDaemon,
    engine: FakeEngine,
    startedAtMs: number | undefined,
  ): void {
    const { name, availabilityZone } = engine;
    const nowMs = this.#world.heap.nowMs;
    const onProbation = this.#damperOf(daemon).isOnProbation(name, nowMs);
    daemon.view.addTarget({ name, availabilityZone, startedAtMs, onProbation });
    if (!onProbation) return;
    this.#world.heap.after(PROBATION_CHECK_PERIOD_MS, () => {
      if (!daemon.view.target(name)) return;
      this.#addTarget(daemon, engine, startedAtMs);
    });
  }

  #addPeer(daemon: FakeDaemon, peer: FakeDaemon): void {
    if (daemon === peer || daemon.view.daemons().has(peer.name)) return;
    daemon.view.addDaemon(peer.name, peer.availabilityZone);
    this.#listener.onPeerReconnected(daemon, peer.name);
  }

  #removePeer(daemon: FakeDaemon, peer: string): void {
    if (!daemon.view.daemons().has(peer)) return;
    daemon.view.removeDaemon(peer, this.#world.heap.nowMs);
    this.#listener.onPeerLost(daemon, peer);
  }

  /** Calls `action` after the lag if the daemon can reach the zone by then. */
  #disseminate(
    lag: LagRange,
    availabilityZone: string,
    action: (daemon: FakeDaemon) => void,
  ): void {
    this.#atEachDaemon(lag, (daemon) => {
      if (this.#canReach(daemon, availabilityZone)) action(daemon);
    });
  }

  #atEachDaemon(lag: LagRange, action: (daemon: FakeDaemon) => void): void {
    for (const daemon of this.#world.daemons()) {
      const lagMs = this.#world.random.between(lag.lowMs, lag.highMs);
      this.#world.heap.after(lagMs, () => daemon.run(() => action(daemon)));
    }
  }

  #canReach(daemon: FakeDaemon, availabilityZone: string): boolean {
    return this.#world.network.isLinked(
      daemon.availabilityZone,
      availabilityZone,
    );
  }

  #damperOf(daemon: FakeDaemon): FlapDamper {
    const damper = this.#dampers.get(daemon.name) ?? new FlapDamper();
    this.#dampers.set(daemon.name, damper);
    return damper;
  }
}
