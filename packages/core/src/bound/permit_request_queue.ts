import {
  ANY_TARGET_WAIT_MS,
  MAX_QUEUE_WAIT_MS,
  type PermitRequest,
  type PermitResponse,
} from "./permit.ts";

/** Queue length above which requests are rejected immediately. */
const MAX_QUEUED_REQUESTS = 512;

/** The response to a queued permit request. */
export interface DelayedResponse {
  readonly holder: string;
  readonly response: PermitResponse;
}

interface QueuedPermitRequest {
  readonly holder: string;
  readonly request: PermitRequest;
  /** Until this time, only the first target is accepted. */
  readonly firstUntilMs: number;
  /** The request is rejected after this time. */
  readonly untilMs: number;
}

/** Decides immediately on one target of a permit request. */
export type DecideTarget = (
  holder: string,
  request: PermitRequest,
  target: string,
) => PermitResponse;

/**
 * FIFO queue of permit requests whose acceptable targets are all full.
 */
export class PermitRequestQueue {
  #entries: QueuedPermitRequest[] = [];

  get length(): number {
    return this.#entries.length;
  }

  /** Returns the response to a request, or undefined after queueing it. */
  handleRequest(
    holder: string,
    request: PermitRequest,
    nowMs: number,
    decide: DecideTarget,
  ): PermitResponse | undefined {
    const waitMs = Math.min(request.waitMs ?? 0, MAX_QUEUE_WAIT_MS);
    const firstUntilMs = nowMs + waitMs;
    const anyWaitMs = request.alternatives ? ANY_TARGET_WAIT_MS : 0;
    const untilMs = firstUntilMs + anyWaitMs;
    const entry = { holder, request, firstUntilMs, untilMs };
    const response = decideEntry(entry, nowMs, decide);
    const canWait = nowMs < untilMs &&
      this.#entries.length < MAX_QUEUED_REQUESTS;
    if (!isAtLimit(response) || !canWait) return response;
    this.#entries.push(entry);
    return undefined;
  }

  /** Responds to the requests that can be granted now or that timed out. */
  resolveQueuedRequests(
    nowMs: number,
    decide: DecideTarget,
  ): DelayedResponse[] {
    const delayed: DelayedResponse[] = [];
    const remaining: QueuedPermitRequest[] = [];
    const decideCached = cacheFullTargets(decide);
    for (const entry of this.#entries) {
      const response = decideEntry(entry, nowMs, decideCached);
      const canWait = isAtLimit(response) && nowMs < entry.untilMs;
      if (canWait) remaining.push(entry);
      else delayed.push({ holder: entry.holder, response });
    }
    this.#entries = remaining;
    return delayed;
  }

  /** Rejects the requests whose first target is no longer owned here. */
  rejectByTarget(target: string): DelayedResponse[] {
    const rejected = this.#entries.filter((entry) =>
      entry.request.target === target
    );
    this.#entries = this.#entries.filter((entry) =>
      entry.request.target !== target
    );
    return rejected.map(({ holder, request }) => ({
      holder,
      response: {
        kind: "refused",
        permitId: request.permitId,
        reason: "not-keeper",
      },
    }));
  }

  /** Whether queued requests of a pool accept any of their targets by now. */
  hasRequestsForAnyTarget(
    nowMs: number,
    isOfPool: (target: string) => boolean,
  ): boolean {
    return this.#entries.some((entry) =>
      nowMs >= entry.firstUntilMs && isOfPool(entry.request.target)
    );
  }

  /** Drops a request that its holder gave up. */
  drop(holder: string, permitId: number): void {
    this.#entries = this.#entries.filter((entry) =>
      entry.holder !== holder || entry.request.permitId !== permitId
    );
  }

  /** Drops the requests of a daemon that is gone. */
  dropHolder(holder: string): void {
    this.#entries = this.#entries.filter((entry) => entry.holder !== holder);
  }
}

/** Decides on the first target; after `firstUntilMs`, on any target. */
function decideEntry(
  entry: QueuedPermitRequest,
  nowMs: number,
  decide: DecideTarget,
): PermitResponse {
  const { holder, request, firstUntilMs } = entry;
  const first = decide(holder, request, request.target);
  if (first.kind === "granted") return first;
  if (isAtLimit(first) && nowMs < firstUntilMs) return first;
  let best: PermitResponse = first;
  for (const target of request.alternatives ?? []) {
    const response = decide(holder, request, target);
    if (response.kind === "granted") return response;
    // A full target may soon have capacity; the other targets will not.
    if (isAtLimit(response)) best = response;
  }
  return best;
}

/** Caches full targets: grants only add load, so a full target stays full. */
function cacheFullTargets(decide: DecideTarget): DecideTarget {
  const full = new Set<string>();
  return (holder, request, target) => {
    if (full.has(target)) {
      return {
        kind: "refused",
        permitId: request.permitId,
        reason: "at-limit",
      };
    }
    const response = decide(holder, request, target);
    if (isAtLimit(response)) full.add(target);
    return response;
  };
}

function isAtLimit(response: PermitResponse): boolean {
  return response.kind === "refused" && response.reason === "at-limit";
}
