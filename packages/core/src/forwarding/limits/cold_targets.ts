/** What a registration states of its target. */
export interface ColdRegistration {
  readonly incarnation: string;
  readonly coldLeftMs: number;
}

/** A target that is cold, as daemons tell each other. */
export interface ColdTarget {
  /** Incarnation of the target. */
  readonly target: string;
  readonly coldLeftMs: number;
}

/**
 * What a statement changes. A target that `turns` cold may have requests on
 * their way that were sent without a permit; one that `starts` cold has not.
 */
export type ColdChange = "none" | "starts" | "turns" | "extends";

interface KnownTarget {
  untilMs: number;
  /** Whether a response stated that, not only the registration. */
  isStated: boolean;
  /** The figure of the last registration, and when it was last stated. */
  registeredMs: number;
  registeredAtMs: number;
}

/** A time that differs by less is the same one, stated with other delays. */
const MIN_EXTENSION_MS = 500;

/**
 * Until when targets are cold, by what they state. Each daemon counts down from
 * the moment at which it learned of a statement, so none takes a target for warm
 * too early.
 */
export class ColdTargets {
  readonly #known = new Map<string, KnownTarget>();

  /** When the target is warm; undefined where it was not cold. */
  untilMs(target: string): number | undefined {
    const untilMs = this.#known.get(target)?.untilMs;
    return untilMs === -Infinity ? undefined : untilMs;
  }

  list(nowMs: number): ColdTarget[] {
    return listCold(this.#known, nowMs);
  }

  /** The targets that stated in a response that they are cold. */
  listStated(nowMs: number): ColdTarget[] {
    const stated = [...this.#known].filter(([, { isStated }]) => isStated);
    return listCold(stated, nowMs);
  }

  /**
   * Records a registration. One that repeats a figure within its own time is a
   * renewal of the same registration, and the time counts down meanwhile.
   */
  recordRegistered(
    { incarnation, coldLeftMs }: ColdRegistration,
    nowMs: number,
  ): ColdChange {
    const known = this.#known.get(incarnation);
    const isRenewed = known?.registeredMs === coldLeftMs &&
      nowMs - known.registeredAtMs < coldLeftMs;
    const change = isRenewed
      ? "none"
      : this.#record({ target: incarnation, coldLeftMs }, false, nowMs);
    const current = this.#known.get(incarnation);
    if (current) {
      current.registeredMs = coldLeftMs;
      current.registeredAtMs = nowMs;
    }
    return change;
  }

  /** Records what a response or another daemon states. */
  recordStated(stated: ColdTarget, nowMs: number): ColdChange {
    return this.#record(stated, true, nowMs);
  }

  /** Forgets targets that are gone. */
  keepOnly(targets: ReadonlySet<string>): void {
    for (const target of this.#known.keys()) {
      if (!targets.has(target)) this.#known.delete(target);
    }
  }

  #record(
    { target, coldLeftMs }: ColdTarget,
    isStated: boolean,
    nowMs: number,
  ): ColdChange {
    const known = this.#known.get(target);
    const untilMs = coldLeftMs > 0 ? nowMs + coldLeftMs : -Infinity;
    if (!known) {
      const registered = { registeredMs: 0, registeredAtMs: -Infinity };
      this.#known.set(target, { untilMs, isStated, ...registered });
      return coldLeftMs > 0 ? "starts" : "none";
    }
    if (untilMs < known.untilMs + MIN_EXTENSION_MS) return "none";
    const isCold = nowMs < known.untilMs;
    known.untilMs = untilMs;
    known.isStated = isStated;
    return isCold ? "extends" : "turns";
  }
}

function listCold(
  known: Iterable<readonly [string, KnownTarget]>,
  nowMs: number,
): ColdTarget[] {
  return [...known]
    .map(([target, { untilMs }]) => ({ target, coldLeftMs: untilMs - nowMs }))
    .filter(({ coldLeftMs }) => coldLeftMs > 0);
}
