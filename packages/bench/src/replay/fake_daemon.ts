import { DaemonView } from "./daemon_view.ts";

/** One entry daemon: its view and whether it is up. */
export class FakeDaemon {
  readonly name: string;
  readonly availabilityZone: string;
  readonly view = new DaemonView();
  isUp = true;
  isPaused = false;
  /** What reached the daemon while it was paused, in order. */
  #inbox: (() => void)[] = [];

  constructor(name: string, availabilityZone: string) {
    this.name = name;
    this.availabilityZone = availabilityZone;
  }

  /** Whether the balancer sends it requests. */
  get isReady(): boolean {
    return this.isUp && !this.isPaused;
  }

  /** Runs the action now, after the pause, or never if the daemon is gone. */
  run(action: () => void): void {
    if (!this.isUp) return;
    if (this.isPaused) this.#inbox.push(action);
    else action();
  }

  pause(): void {
    this.isPaused = true;
  }

  /** Runs everything that waited. */
  resume(): void {
    this.isPaused = false;
    const waiting = this.#inbox;
    this.#inbox = [];
    for (const action of waiting) this.run(action);
  }
}
