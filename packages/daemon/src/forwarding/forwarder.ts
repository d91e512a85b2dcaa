import { ForwardedRequest } from "./forwarded_request.ts";
import type { AcceptedRequest, ForwarderParts } from "./forwarding_types.ts";

/** How often silent answers are looked for. */
const SILENCE_CHECK_PERIOD_MS = 100;

/** Forwards requests and watches over those that run. */
export class Forwarder {
  readonly #parts: ForwarderParts;
  readonly #running = new Set<ForwardedRequest>();

  constructor(parts: ForwarderParts) {
    this.#parts = parts;
  }

  /** Requests that have no final answer yet. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Begins to look for silent answers; returns what ends it. */
  start(): () => void {
    return this.#parts.timer.every(SILENCE_CHECK_PERIOD_MS, () => {
      for (const request of this.#running) request.checkSilence();
    });
  }

  forward(accepted: AcceptedRequest): void {
    const request = new ForwardedRequest(accepted, this.#parts, () => {
      this.#running.delete(request);
    });
    this.#running.add(request);
    request.start();
  }
}
