import {
  type CancelTimer,
  DEFAULT_FAIR_QUEUE_SETTINGS,
  FairQueue,
  type QueueRefusal,
  type TimerService,
  type WaitingRequest,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { Blackboard } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import { createRefusal, type Refusal } from "../entry/refusal.ts";
import type { RequestContext } from "../entry/request_context.ts";
import type { Metrics } from "../metrics/index.ts";

/** How often waiting requests are looked through for passed deadlines. */
const EXPIRY_PERIOD_MS = 50;

/** A pool counts as full for this long after a request found no room. */
const FULL_MS = 1_000;
/**
 * Requests that look for a target at a time while the pool is full. Each of
 * them waits in line at a keeper, so a few keep up with the places given back.
 */
const MAX_SEARCHING_WHEN_FULL = 8;

/** Parts of the daemon that the controller uses. */
export interface AdmissionControllerParts {
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly metrics: Metrics;
}

/** A request that was let in; it holds a place until it is released. */
export interface AdmissionTicket {
  /**
   * Says whether the request found no target with room. While one does not,
   * no further request of the pool is let in, so that they wait in the fair
   * queue and not beside it.
   */
  setBlocked(isBlocked: boolean): void;
  /** Gives the place back. Idempotent. */
  release(): void;
}

interface PoolAdmission {
  readonly queue: FairQueue;
  /** Requests that were let in and look for a target. */
  readonly searching: Set<WaitingRequest>;
  /** Those of them that found no room. */
  readonly blocked: Set<WaitingRequest>;
  /** Until when the pool counts as full. */
  fullUntilMs: number;
}

interface Waiter {
  readonly pool: PoolAdmission;
  readonly resolve: (result: Result<AdmissionTicket, Refusal>) => void;
  readonly queuedAtMs: number;
}

/**
 * Lets requests in, by fair shares of the teams. It reads `config`, `targets`
 * and `daemons`, and writes no field.
 */
export class AdmissionController extends Controller {
  override readonly name = "admission";
  readonly #parts: AdmissionControllerParts;
  readonly #pools = new Map<string, PoolAdmission>();
  readonly #waiters = new Map<WaitingRequest, Waiter>();
  #cancelTimer: CancelTimer | undefined;

  constructor(parts: AdmissionControllerParts) {
    super();
    this.#parts = parts;
  }

  override start(): Promise<void> {
    const { timer } = this.#parts;
    this.#cancelTimer = timer.every(EXPIRY_PERIOD_MS, () => this.#expire());
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#cancelTimer?.();
    return Promise.resolve();
  }

  override dumpState(): unknown {
    const pools: Record<string, unknown> = {};
    for (const [name, { queue, blocked }] of this.#pools) {
      const { queued, running } = queue;
      pools[name] = { queued, running, blocked: blocked.size };
    }
    return pools;
  }

  /** Waits for the request's turn, or refuses it as not run. */
  admit(context: RequestContext): Promise<Result<AdmissionTicket, Refusal>> {
    const nowMs = this.#parts.timer.nowMs();
    const pool = this.#poolOf(context);
    const request: WaitingRequest = {
      requestId: context.requestId,
      team: context.team.name,
      weight: context.team.shareWeight,
      priority: context.priority,
      maxTeamRunning: this.#teamLimit(context),
      deadlineMs: context.deadlineAtMs,
    };
    return new Promise((resolve) => {
      this.#waiters.set(request, { pool, resolve, queuedAtMs: nowMs });
      const refusal = pool.queue.offer(request, nowMs);
      if (refusal) this.#refuse(refusal);
      this.#startWaiting(pool);
      if (this.#waiters.has(request)) this.#followCaller(request, context);
    });
  }

  #followCaller(request: WaitingRequest, context: RequestContext): void {
    context.signal.addEventListener("abort", () => {
      const waiter = this.#waiters.get(request);
      if (!waiter?.pool.queue.cancel(request)) return;
      this.#refuse({ request, reason: "deadline-passed", retryAfterMs: 0 });
    }, { once: true });
  }

  #poolOf(context: RequestContext): PoolAdmission {
    const { name, maxQueuedRequests } = context.pool;
    let pool = this.#pools.get(name);
    if (!pool) {
      const settings = {
        ...DEFAULT_FAIR_QUEUE_SETTINGS,
        maxQueued: maxQueuedRequests,
      };
      pool = {
        queue: new FairQueue(settings, 0),
        searching: new Set(),
        blocked: new Set(),
        fullUntilMs: 0,
      };
      this.#pools.set(name, pool);
    }
    pool.queue.setMaxQueued(maxQueuedRequests);
    pool.queue.setCapacity(this.#countPlaces(context));
    return pool;
  }

  /** Places of the pool, and this daemon's even part of them. */
  #countPlaces(context: RequestContext): { all: number; evenPart: number } {
    const { blackboard } = this.#parts;
    let targets = 0;
    for (const target of blackboard.targets.read().values()) {
      const isServing = target.pool === context.pool.name &&
        target.state === "live";
      if (isServing) targets += 1;
    }
    let daemons = 0;
    for (const daemon of blackboard.daemons.read().values()) {
      if (daemon.state === "live") daemons += 1;
    }
    const all = Math.max(1, targets) * context.pool.maxConcurrentPerTarget;
    return { all, evenPart: all / Math.max(1, daemons) };
  }

  /** This daemon's even part of what the team may run in the zone. */
  #teamLimit(context: RequestContext): number {
    const { blackboard, availabilityZone } = this.#parts;
    let daemons = 0;
    for (const daemon of blackboard.daemons.read().values()) {
      const isOfZone = daemon.availabilityZone === availabilityZone;
      if (isOfZone && daemon.state === "live") daemons += 1;
    }
    const { maxConcurrentRequests } = context.team;
    return Math.ceil(maxConcurrentRequests / Math.max(1, daemons));
  }

  #startWaiting(pool: PoolAdmission): void {
    const nowMs = this.#parts.timer.nowMs();
    while (mayLetIn(pool, nowMs)) {
      const request = pool.queue.peek(nowMs);
      if (!request) return;
      pool.queue.start(request, nowMs);
      const waiter = this.#takeWaiter(request, nowMs);
      if (!waiter) {
        pool.queue.finish(request, nowMs);
        continue;
      }
      waiter.resolve(ok(this.#createTicket(pool, request)));
    }
  }

  #createTicket(
    pool: PoolAdmission,
    request: WaitingRequest,
  ): AdmissionTicket {
    pool.searching.add(request);
    const setBlocked = (isBlocked: boolean) => {
      if (isBlocked) {
        pool.blocked.add(request);
        pool.fullUntilMs = this.#parts.timer.nowMs() + FULL_MS;
        return;
      }
      pool.blocked.delete(request);
      if (pool.searching.delete(request)) this.#startWaiting(pool);
    };
    return {
      setBlocked,
      release: () => {
        pool.blocked.delete(request);
        pool.searching.delete(request);
        pool.queue.finish(request, this.#parts.timer.nowMs());
        this.#startWaiting(pool);
      },
    };
  }

  #expire(): void {
    const nowMs = this.#parts.timer.nowMs();
    for (const pool of this.#pools.values()) {
      for (const refusal of pool.queue.expire(nowMs)) this.#refuse(refusal);
      this.#startWaiting(pool);
    }
  }

  #refuse(refusal: QueueRefusal): void {
    const nowMs = this.#parts.timer.nowMs();
    const waiter = this.#takeWaiter(refusal.request, nowMs);
    waiter?.resolve(err(createQueueRefusal(refusal)));
  }

  #takeWaiter(request: WaitingRequest, nowMs: number): Waiter | undefined {
    const waiter = this.#waiters.get(request);
    if (!waiter) return undefined;
    this.#waiters.delete(request);
    this.#parts.metrics.recordMs("queue_wait_ms", nowMs - waiter.queuedAtMs);
    return waiter;
  }
}

/**
 * Whether another request may look for a target. While the pool is full, few
 * do, so that the others keep their places in the fair queue.
 */
function mayLetIn(pool: PoolAdmission, nowMs: number): boolean {
  const isFull = pool.blocked.size > 0 || nowMs < pool.fullUntilMs;
  if (!isFull) return true;
  return pool.searching.size < MAX_SEARCHING_WHEN_FULL;
}

function createQueueRefusal(refusal: QueueRefusal): Refusal {
  const { reason, retryAfterMs } = refusal;
  if (reason === "queue-full") {
    const message =
      "the queue of the pool is full and the team is beyond its share; come back later";
    return createRefusal(429, "queue_full", message, { retryAfterMs });
  }
  const message = reason === "deadline-unreachable"
    ? "the request cannot start before its deadline; come back later"
    : "the deadline passed while the request waited";
  return createRefusal(503, "deadline_unreachable", message, { retryAfterMs });
}
