import { hash32 } from "../../hash/index.ts";
import { EvenTurns } from "./even_turns.ts";
import { type LimitRole, shareOfLimit } from "./limit_owners.ts";
import { RateLimiter, type Reservation } from "./rate_limiter.ts";

/** Limit of the limiters; the oldest are evicted first. */
const MAX_LIMITERS = 10_000;
/**
 * Time after the start of a daemon in which others may still ask the former
 * owner: a changed list of daemons is known everywhere within 2 s.
 */
export const HAND_OVER_MS = 2_500;
/** Roles in which a daemon hands out permits of a target. */
const ROLES: readonly LimitRole[] = ["owner", "substitute", "own"];

/** What is asked of the limiters of one daemon. */
export interface PermitQuery {
  readonly target: string;
  readonly requestsPerSecond: number;
  readonly maxWaitMs: number;
  readonly role: LimitRole;
  /** Number of daemons in the fleet. */
  readonly daemons: number;
  /**
   * Whether the limit holds in each second. A daemon then hands out nothing
   * until all others know that it has started.
   */
  readonly isStrict: boolean;
}

/** The permits that one daemon hands out, for each target and role. */
export class PermitLimiters {
  readonly #name: string;
  readonly #startedAtMs: number;
  readonly #limiters = new Map<string, RateLimiter | EvenTurns>();

  constructor(name: string, startedAtMs: number) {
    this.#name = name;
    this.#startedAtMs = startedAtMs;
  }

  get size(): number {
    return this.#limiters.size;
  }

  reserve(query: PermitQuery, nowMs: number): Reservation {
    const { target, requestsPerSecond, maxWaitMs, role, daemons } = query;
    const limiter = this.#limiterOf(target, role, nowMs);
    if (query.isStrict) limiter.delayUntil(this.#startedAtMs + HAND_OVER_MS);
    const share = shareOfLimit(requestsPerSecond, role, daemons);
    return limiter.reserve(share, maxWaitMs, nowMs);
  }

  /** Hands out no permits of a target before `untilMs`. */
  delayUntil(target: string, untilMs: number, nowMs: number): void {
    for (const role of ROLES) {
      this.#limiterOf(target, role, nowMs).delayUntil(untilMs);
    }
  }

  #limiterOf(
    target: string,
    role: LimitRole,
    nowMs: number,
  ): RateLimiter | EvenTurns {
    const key = `${role} ${target}`;
    const limiter = this.#limiters.get(key) ?? this.#create(key, role, nowMs);
    this.#limiters.delete(key);
    this.#limiters.set(key, limiter);
    if (this.#limiters.size > MAX_LIMITERS) {
      const oldest = this.#limiters.keys().next();
      if (!oldest.done) this.#limiters.delete(oldest.value);
    }
    return limiter;
  }

  #create(key: string, role: LimitRole, nowMs: number) {
    if (role !== "own") return new RateLimiter(nowMs);
    return new EvenTurns(hash32(`${this.#name} ${key}`) / 2 ** 32);
  }
}
