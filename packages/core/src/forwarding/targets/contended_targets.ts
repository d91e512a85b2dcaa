import { type ReportedLoad, totalRequests } from "./target_record.ts";

/**
 * Share of a target's slots from which they may run out: the requests that all
 * daemons send within one round trip fill the rest.
 */
const CONTENDED_SHARE = 0.75;
/**
 * How long a target counts as contended after the last sign of it. Bursts are
 * some hundred ms apart, and 138 daemons hear of one target every 2 s each.
 */
const CONTENDED_MS = 2_000;
/** Time after which to announce a target again, before others forget it. */
const ANNOUNCEMENT_PERIOD_MS = 1_000;
/** Limit on the announcements of all daemons within a period. */
const MAX_ANNOUNCEMENTS = 8;
/** Limit of tracked targets; the oldest are evicted first. */
const MAX_TARGETS = 10_000;

/** Whether the slots of a target that reports this load may run out. */
export function showsContention(load: ReportedLoad): boolean {
  return totalRequests(load) >= Math.ceil(load.slots * CONTENDED_SHARE);
}

/**
 * Tracks which targets are contended, with hysteresis: one sign is enough to
 * begin, and a time without signs ends it.
 */
export class ContendedTargets {
  readonly #seenAtMs = new Map<string, number>();
  readonly #announcedAtMs = new Map<string, number>();

  isContended(incarnation: string, nowMs: number): boolean {
    const seenAtMs = this.#seenAtMs.get(incarnation) ?? -Infinity;
    return nowMs - seenAtMs < CONTENDED_MS;
  }

  /**
   * Records a sign of contention at this daemon. Returns whether to announce it
   * to the others, which hear of the target too rarely.
   */
  recordSign(incarnation: string, nowMs: number): boolean {
    this.#recordSeen(incarnation, nowMs);
    for (const [announced, atMs] of this.#announcedAtMs) {
      if (nowMs - atMs < ANNOUNCEMENT_PERIOD_MS) break;
      this.#announcedAtMs.delete(announced);
    }
    if (this.#announcedAtMs.has(incarnation)) return false;
    if (this.#announcedAtMs.size >= MAX_ANNOUNCEMENTS) return false;
    this.#announcedAtMs.set(incarnation, nowMs);
    return true;
  }

  /** Records the announcement of another daemon. */
  recordAnnounced(incarnation: string, nowMs: number): void {
    this.#recordSeen(incarnation, nowMs);
    this.#announcedAtMs.delete(incarnation);
    this.#announcedAtMs.set(incarnation, nowMs);
  }

  /** The targets that are contended now. */
  list(nowMs: number): string[] {
    return [...this.#seenAtMs.keys()].filter((incarnation) =>
      this.isContended(incarnation, nowMs)
    );
  }

  #recordSeen(incarnation: string, nowMs: number): void {
    this.#seenAtMs.delete(incarnation);
    this.#seenAtMs.set(incarnation, nowMs);
    if (this.#seenAtMs.size <= MAX_TARGETS) return;
    const oldest = this.#seenAtMs.keys().next();
    if (!oldest.done) this.#seenAtMs.delete(oldest.value);
  }
}
