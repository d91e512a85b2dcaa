import { ForwardedRequest } from "./forwarded_request.ts";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";

/** How often attempts are checked for unresponsive targets. */
const RESPONSIVENESS_CHECK_PERIOD_MS = 100;

/** Forwards requests and monitors those in flight. */
export class Forwarder {
  readonly #dependencies: ForwarderDependencies;
  readonly #inFlight = new Set<ForwardedRequest>();
  #isClosed = false;

  constructor(dependencies: ForwarderDependencies) {
    this.#dependencies = dependencies;
  }

  /** Requests that have no final response yet. */
  get inFlightCount(): number {
    return this.#inFlight.size;
  }

  /** Starts the checks for unresponsive targets; returns a stop function. */
  start(): () => void {
    return this.#dependencies.timer.every(
      RESPONSIVENESS_CHECK_PERIOD_MS,
      () => {
        for (const request of this.#inFlight) request.checkResponsiveness();
      },
    );
  }

  forward(accepted: AcceptedRequest): void {
    const request = new ForwardedRequest(accepted, this.#dependencies, () => {
      this.#inFlight.delete(request);
    });
    this.#inFlight.add(request);
    if (this.#isClosed) request.abort();
    else request.start();
  }

  /** Ends all requests in flight, and each later one: the daemon exits. */
  abortAll(): void {
    this.#isClosed = true;
    for (const request of [...this.#inFlight]) request.abort();
  }
}
