import type { FakeDaemon } from "./fake_daemon.ts";
import type { FakeEngine } from "./fake_engine.ts";
import type { Fault } from "./faults.ts";
import type { ViewSpreader } from "./view_spreader.ts";
import type { World } from "./world.ts";

/** Time after which every keeper knows that a target leaves, in ms. */
const LEAVE_KNOWN_MS = 3_000;
/** Time after which a target that leaves is gone at the latest, in ms. */
const DRAIN_MS = 30_000;

/** Told of daemons that come and go, for what runs on them. */
export interface DaemonListener {
  daemonAdded(daemon: FakeDaemon): void;
  /** The process is gone; its connections to targets close if `isKill`. */
  daemonGone(daemon: FakeDaemon, isKill: boolean): void;
  /** The daemon stopped: nobody gives work to the targets that it keeps. */
  daemonStopped(daemon: FakeDaemon): void;
  /** A zone was cut off: streams across the cut stall. */
  zoneCut(): void;
}

/** Applies the faults of a replay to the true state and the views. */
export class FaultInjector {
  readonly #world: World;
  readonly #views: ViewSpreader;
  readonly #listener: DaemonListener;

  constructor(world: World, views: ViewSpreader, listener: DaemonListener) {
    this.#world = world;
    this.#views = views;
    this.#listener = listener;
  }

  /** Plans all faults. */
  plan(faults: readonly Fault[]): void {
    for (const fault of faults) {
      this.#world.heap.at(fault.atMs, () => this.#apply(fault));
    }
  }

  #apply(fault: Fault): void {
    if (fault.kind === "target-join") {
      return this.#joinTarget(fault.target, fault.availabilityZone);
    }
    if (fault.kind === "daemon-join") {
      return this.#joinDaemon(fault.daemon, fault.availabilityZone);
    }
    if (fault.kind === "zone-cut") return this.#cutZone(fault);
    if ("target" in fault) {
      const engine = this.#world.engine(fault.target);
      if (engine?.isUp) this.#applyToTarget(fault, engine);
      return;
    }
    const daemon = this.#world.daemon(fault.daemon);
    if (daemon?.isReady) this.#applyToDaemon(fault, daemon);
  }

  #joinTarget(name: string, availabilityZone: string): void {
    if (this.#world.engine(name)) return;
    const engine = this.#world.addEngine(name, availabilityZone);
    this.#views.targetJoined(engine);
  }

  #joinDaemon(name: string, availabilityZone: string): void {
    if (this.#world.daemon(name)) return;
    const daemon = this.#world.addDaemon(name, availabilityZone);
    this.#views.daemonJoined(daemon);
    this.#listener.daemonAdded(daemon);
  }

  #applyToTarget(
    fault: Extract<Fault, { target: string }>,
    engine: FakeEngine,
  ): void {
    if (engine.isLeaving) return;
    if (fault.kind === "target-leave") return this.#leave(engine);
    if (fault.kind === "target-blip") {
      return this.#views.targetBlip(engine, fault.downMs);
    }
    if (fault.kind !== "target-restart") return;
    engine.goDown();
    engine.isServing = false;
    this.#views.targetDown(engine);
    this.#world.heap.after(fault.downMs, () => {
      engine.comeUp();
      this.#views.targetJoined(engine);
    });
  }

  #leave(engine: FakeEngine): void {
    engine.isLeaving = true;
    this.#views.targetLeaving(engine);
    this.#world.heap.after(LEAVE_KNOWN_MS, () => {
      engine.isServing = false;
    });
    this.#world.heap.after(DRAIN_MS, () => engine.goDown());
  }

  #applyToDaemon(
    fault: Extract<Fault, { daemon: string }>,
    daemon: FakeDaemon,
  ): void {
    this.#listener.daemonStopped(daemon);
    if (fault.kind === "daemon-pause") {
      daemon.pause();
      this.#views.daemonSilent(daemon);
      this.#world.heap.after(fault.durationMs, () => {
        daemon.resume();
        this.#views.daemonResumed(daemon);
      });
      return;
    }
    const isKill = fault.kind === "daemon-kill";
    daemon.isUp = false;
    if (isKill) this.#views.daemonKilled(daemon);
    else this.#views.daemonSilent(daemon);
    this.#listener.daemonGone(daemon, isKill);
  }

  #cutZone(fault: Extract<Fault, { kind: "zone-cut" }>): void {
    this.#world.setCut(fault.availabilityZone, true);
    this.#views.zoneCut();
    this.#listener.zoneCut();
    this.#world.heap.after(fault.durationMs, () => {
      this.#world.setCut(fault.availabilityZone, false);
      this.#views.zoneHealed();
    });
  }
}
