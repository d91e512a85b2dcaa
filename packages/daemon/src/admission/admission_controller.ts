import {
  type CancelTimer,
  DEFAULT_FAIR_QUEUE_SETTINGS,
  FairQueue,
  type QueuedRequest,
  type QueueRejection,
  type TimerService,
} from "@coltsfootford/core";
import { err, ok, type Result } from "neverthrow";
import type { Blackboard } from "../blackboard/index.ts";
import { Controller } from "../controllers/index.ts";
import {
  createRequestError,
  type RequestError,
} from "../entry/request_error.ts";
import type { RequestContext } from "../entry/request_context.ts";
import type { Metrics } from "../metrics/index.ts";

/** Interval at which waiting requests are checked for passed deadlines. */
const EXPIRY_INTERVAL_MS = 50;

/** A pool counts as full for this long after a request found no capacity. */
const POOL_FULL_HOLD_MS = 1_000;
/**
 * Maximum number of requests that search for a target at the same time while the
 * pool is full. Each of them is queued at the owner of a target, so a few are
 * enough to use the capacity as it becomes free.
 */
const MAX_SEARCHING_WHEN_FULL = 8;

export interface AdmissionControllerDependencies {
  readonly availabilityZone: string;
  readonly blackboard: Blackboard;
  readonly timer: TimerService;
  readonly metrics: Metrics;
}

/** An admitted request; it counts as running until it is released. */
export interface AdmissionTicket {
  /**
   * Reports whether the request is blocked, because its search for a target
   * found none with capacity. While a request of the pool is blocked, no further
   * request of that pool is admitted, so that they wait in the fair queue and
   * not outside of it.
   */
  setBlocked(isBlocked: boolean): void;
  /** Marks the request as finished. Idempotent. */
  release(): void;
}

interface PoolAdmission {
  readonly queue: FairQueue;
  /** Admitted requests that still search for a target. */
  readonly searching: Set<QueuedRequest>;
  /** The searching requests that found no target with capacity. */
  readonly blocked: Set<QueuedRequest>;
  /** The time until which the pool counts as full. */
  fullUntilMs: number;
}

interface Waiter {
  readonly pool: PoolAdmission;
  readonly resolve: (result: Result<AdmissionTicket, RequestError>) => void;
  readonly queuedAtMs: number;
}

/**
 * Admits requests to pools by the fair shares of the teams. It reads the
 * blackboard fields `config`, `targets` and `daemons` and writes none.
 */
export class AdmissionController extends Controller {
  override readonly name = "admission";
  readonly #dependencies: AdmissionControllerDependencies;
  readonly #pools = new Map<string, PoolAdmission>();
  readonly #waiters = new Map<QueuedRequest, Waiter>();
  #cancelTimer: CancelTimer | undefined;

  constructor(dependencies: AdmissionControllerDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  override start(): Promise<void> {
    const { timer } = this.#dependencies;
    this.#cancelTimer = timer.every(EXPIRY_INTERVAL_MS, () => this.#expire());
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

  /** Resolves once the request is admitted, or rejects it as `not-run`. */
  admit(
    context: RequestContext,
  ): Promise<Result<AdmissionTicket, RequestError>> {
    const nowMs = this.#dependencies.timer.nowMs();
    const pool = this.#getPool(context);
    const request: QueuedRequest = {
      requestId: context.requestId,
      team: context.team.name,
      weight: context.team.shareWeight,
      priority: context.priority,
      maxTeamRunning: this.#computeTeamLimit(context),
      deadlineMs: context.deadlineAtMs,
    };
    return new Promise((resolve) => {
      this.#waiters.set(request, { pool, resolve, queuedAtMs: nowMs });
      const rejection = pool.queue.offer(request, nowMs);
      if (rejection) this.#reject(rejection);
      this.#admitWaiting(pool);
      if (this.#waiters.has(request)) this.#cancelOnAbort(request, context);
    });
  }

  #cancelOnAbort(request: QueuedRequest, context: RequestContext): void {
    context.signal.addEventListener("abort", () => {
      const waiter = this.#waiters.get(request);
      if (!waiter?.pool.queue.cancel(request)) return;
      this.#reject({ request, reason: "deadline-passed", retryAfterMs: 0 });
    }, { once: true });
  }

  #getPool(context: RequestContext): PoolAdmission {
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
    pool.queue.setCapacity(this.#computeCapacity(context));
    return pool;
  }

  /** The request capacity of the pool, and this daemon's even share of it. */
  #computeCapacity(
    context: RequestContext,
  ): { all: number; evenShare: number } {
    const { blackboard } = this.#dependencies;
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
    return { all, evenShare: all / Math.max(1, daemons) };
  }

  /** This daemon's even share of the team's limit in the zone. */
  #computeTeamLimit(context: RequestContext): number {
    const { blackboard, availabilityZone } = this.#dependencies;
    let daemons = 0;
    for (const daemon of blackboard.daemons.read().values()) {
      const isOwnZone = daemon.availabilityZone === availabilityZone;
      if (isOwnZone && daemon.state === "live") daemons += 1;
    }
    const { maxConcurrentRequests } = context.team;
    return Math.ceil(maxConcurrentRequests / Math.max(1, daemons));
  }

  #admitWaiting(pool: PoolAdmission): void {
    const nowMs = this.#dependencies.timer.nowMs();
    while (mayAdmit(pool, nowMs)) {
      const request = pool.queue.peek(nowMs);
      if (!request) return;
      pool.queue.start(request, nowMs);
      const waiter = this.#removeWaiter(request, nowMs);
      if (!waiter) {
        pool.queue.finish(request, nowMs);
        continue;
      }
      waiter.resolve(ok(this.#createTicket(pool, request)));
    }
  }

  #createTicket(
    pool: PoolAdmission,
    request: QueuedRequest,
  ): AdmissionTicket {
    pool.searching.add(request);
    const setBlocked = (isBlocked: boolean) => {
      if (isBlocked) {
        pool.blocked.add(request);
        pool.fullUntilMs = this.#dependencies.timer.nowMs() + POOL_FULL_HOLD_MS;
        return;
      }
      pool.blocked.delete(request);
      if (pool.searching.delete(request)) this.#admitWaiting(pool);
    };
    return {
      setBlocked,
      release: () => {
        pool.blocked.delete(request);
        pool.searching.delete(request);
        pool.queue.finish(request, this.#dependencies.timer.nowMs());
        this.#admitWaiting(pool);
      },
    };
  }

  #expire(): void {
    const nowMs = this.#dependencies.timer.nowMs();
    for (const pool of this.#pools.values()) {
      for (const rejection of pool.queue.expire(nowMs)) this.#reject(rejection);
      this.#admitWaiting(pool);
    }
  }

  #reject(rejection: QueueRejection): void {
    const nowMs = this.#dependencies.timer.nowMs();
    const waiter = this.#removeWaiter(rejection.request, nowMs);
    waiter?.resolve(err(createQueueError(rejection)));
  }

  #removeWaiter(request: QueuedRequest, nowMs: number): Waiter | undefined {
    const waiter = this.#waiters.get(request);
    if (!waiter) return undefined;
    this.#waiters.delete(request);
    this.#dependencies.metrics.recordMs(
      "queue_wait_ms",
      nowMs - waiter.queuedAtMs,
    );
    return waiter;
  }
}

/**
 * Whether another request may search for a target. While the pool is full, only
 * a few do, so that the others stay in the fair queue.
 */
function mayAdmit(pool: PoolAdmission, nowMs: number): boolean {
  const isFull = pool.blocked.size > 0 || nowMs < pool.fullUntilMs;
  if (!isFull) return true;
  return pool.searching.size < MAX_SEARCHING_WHEN_FULL;
}

function createQueueError(rejection: QueueRejection): RequestError {
  const { reason, retryAfterMs } = rejection;
  if (reason === "queue-full") {
    const message =
      "the queue of the pool is full and the team is beyond its share; come back later";
    return createRequestError(429, "queue_full", message, { retryAfterMs });
  }
  const message = reason === "deadline-unreachable"
    ? "the request cannot start before its deadline; come back later"
    : "the deadline passed while the request waited";
  return createRequestError(503, "deadline_unreachable", message, {
    retryAfterMs,
  });
}
