/** The limit that a target names; `undefined` once it names none. */
export interface NamedLimit {
  /** Incarnation of the target. */
  readonly target: string;
  readonly requestsPerSecond: number | undefined;
}

interface KnownLimit {
  readonly requestsPerSecond: number;
  /** When this daemon first knew of a limit of the target. */
  readonly sinceMs: number;
  announcedAtMs: number;
}

/** Shortest time between two announcements of one target by this daemon. */
const ANNOUNCEMENT_PERIOD_MS = 250;
/** Limit of known limits; the oldest are evicted first. */
const MAX_LIMITS = 10_000;

/** The limits that targets name to any daemon. */
export class NamedLimits {
  readonly #limits = new Map<string, KnownLimit>();

  requestsPerSecondOf(target: string): number | undefined {
    return this.#limits.get(target)?.requestsPerSecond;
  }

  list(): NamedLimit[] {
    return [...this.#limits].map(([target, { requestsPerSecond }]) => ({
      target,
      requestsPerSecond,
    }));
  }

  /**
   * Records what the response to a request of this daemon named. Returns whether
   * other daemons need to know. A response that names no limit ends it only if
   * the request was sent when the limit was known; earlier ones may have
   * overtaken the first response that named it.
   */
  recordNamed(
    { target, requestsPerSecond }: NamedLimit,
    sentAtMs: number,
    nowMs: number,
  ): boolean {
    const known = this.#limits.get(target);
    if (known?.requestsPerSecond === requestsPerSecond) return false;
    const isOutdated = requestsPerSecond === undefined &&
      sentAtMs < (known?.sinceMs ?? Infinity);
    if (isOutdated) return false;
    this.#set({ target, requestsPerSecond }, nowMs);
    const current = this.#limits.get(target);
    if (!current) return true;
    if (nowMs - current.announcedAtMs < ANNOUNCEMENT_PERIOD_MS) return false;
    current.announcedAtMs = nowMs;
    return true;
  }

  /** Records what a target named to another daemon. */
  recordAnnounced(limit: NamedLimit, nowMs: number): void {
    this.#set(limit, nowMs);
  }

  /** Forgets targets that are gone. */
  keepOnly(targets: ReadonlySet<string>): void {
    for (const target of this.#limits.keys()) {
      if (!targets.has(target)) this.#limits.delete(target);
    }
  }

  #set({ target, requestsPerSecond }: NamedLimit, nowMs: number): void {
    if (requestsPerSecond === undefined) {
      this.#limits.delete(target);
      return;
    }
    const known = this.#limits.get(target);
    this.#limits.set(target, {
      requestsPerSecond,
      sinceMs: known?.sinceMs ?? nowMs,
      announcedAtMs: known?.announcedAtMs ?? -Infinity,
    });
    if (this.#limits.size <= MAX_LIMITS) return;
    const oldest = this.#limits.keys().next();
    if (!oldest.done) this.#limits.delete(oldest.value);
  }
}
