import { DaemonView } from "./daemon_view.ts";

/** A simulated entry daemon: its view and its process state. */
export class FakeDaemon {
  readonly name: string;
  readonly availabilityZone: string;
  readonly view = new DaemonView();
  isUp = true;
  isPaused = false;
  /** Actions that arrived while the daemon was paused, in order of arrival. */
  #deferredActions: (() => void)[] = [];

  constructor(name: string, availabilityZone: string) {
    this.name = name;
    this.availabilityZone = availabilityZone;
  }

  /** Whether the load balancer sends requests to the daemon. */
  get isReady(): boolean {
    return this.isUp && !this.isPaused;
  }

  /**
   * Executes the action immediately, or after the pause if the daemon is
   * paused. Does nothing if the daemon is down.
   */
  run(action: () => void): void {
    if (!this.isUp) return;
    if (this.isPaused) this.#deferredActions.push(action);
    else action();
  }

  pause(): void {
    this.isPaused = true;
  }

  /** Ends the pause and executes the deferred actions. */
  resume(): void {
    this.isPaused = false;
    const deferred = this.#deferredActions;
    this.#deferredActions = [];
    for (const action of deferred) this.run(action);
  }
}
