import type { FakeDaemon } from "./fake_daemon.ts";
import type { FakeEngine } from "./fake_engine.ts";
import type { Fault } from "./faults.ts";
import type { ViewDisseminator } from "./view_disseminator.ts";
import type { World } from "./world.ts";

/** Time after which every owner has seen that a target is leaving, in ms. */
const LEAVE_NOTICE_MS = 3_000;
/** Time after which a leaving target stops, in ms. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Receives the events that affect the requests and permits of daemons. */
export interface DaemonListener {
  onDaemonAdded(daemon: FakeDaemon): void;
  /** The daemon is gone. Its connections to targets close if `isKill`. */
  onDaemonGone(daemon: FakeDaemon, isKill: boolean): void;
  /** The daemon stopped or paused: nothing grants permits for its targets. */
  onDaemonStopped(daemon: FakeDaemon): void;
  /** A zone was cut off: streams across the cut stall. */
  onZoneCut(): void;
}

/** Applies the faults of a replay to the true state and to the views. */
export class FaultInjector {
  readonly #world: World;
  readonly #views: ViewDisseminator;
  readonly #listener: DaemonListener;

  constructor(world: World, views: ViewDisseminator, listener: DaemonListener) {
    this.#world = world;
    this.#views = views;
    this.#listener = listener;
  }

  /** Schedules all faults. */
  schedule(faults: readonly Fault[]): void {
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
    this.#listener.onDaemonAdded(daemon);
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
    engine.stop();
    engine.isServing = false;
    this.#views.targetDown(engine);
    this.#world.heap.after(fault.downMs, () => {
      engine.restart();
      this.#views.targetJoined(engine);
    });
  }

  #leave(engine: FakeEngine): void {
    engine.isLeaving = true;
    this.#views.targetLeaving(engine);
    this.#world.heap.after(LEAVE_NOTICE_MS, () => {
      engine.isServing = false;
    });
    this.#world.heap.after(DRAIN_TIMEOUT_MS, () => engine.stop());
  }

  #applyToDaemon(
    fault: Extract<Fault, { daemon: string }>,
    daemon: FakeDaemon,
  ): void {
    this.#listener.onDaemonStopped(daemon);
    if (fault.kind === "daemon-pause") {
      daemon.pause();
      this.#views.daemonUnresponsive(daemon);
      this.#world.heap.after(fault.durationMs, () => {
        daemon.resume();
        this.#views.daemonResumed(daemon);
      });
      return;
    }
    const isKill = fault.kind === "daemon-kill";
    daemon.isUp = false;
    if (isKill) this.#views.daemonKilled(daemon);
    else this.#views.daemonUnresponsive(daemon);
    this.#listener.onDaemonGone(daemon, isKill);
  }

  #cutZone(fault: Extract<Fault, { kind: "zone-cut" }>): void {
    this.#world.setCut(fault.availabilityZone, true);
    this.#views.zoneCut();
    this.#listener.onZoneCut();
    this.#world.heap.after(fault.durationMs, () => {
      this.#world.setCut(fault.availabilityZone, false);
      this.#views.zoneHealed();
    });
  }
}
