import type { RandomSource } from "../load/index.ts";
import type { EventHeap } from "./event_heap.ts";

/** Delay and loss of the links. */
export interface NetworkOptions {
  readonly sameZoneDelayMs: number;
  readonly otherZoneDelayMs: number;
  /** Mean of the jitter as a fraction of the fixed delay. */
  readonly jitterRatio: number;
  /** Probability that a message between two zones loses a segment. */
  readonly lossProbability: number;
  /** Time until a lost segment is retransmitted. */
  readonly retransmitMs: number;
}

/**
 * Links between zones. Each message is delayed with jitter. The messages of one
 * link arrive in order, and a lost segment only adds the retransmission delay,
 * as with TCP. While a zone is cut off (partitioned from all other zones), the
 * network drops messages across the cut.
 */
export class FakeNetwork {
  readonly #heap: EventHeap;
  readonly #random: RandomSource;
  readonly #options: NetworkOptions;
  readonly #lastArrivalMs = new Map<string, number>();
  readonly #cutZones = new Set<string>();

  constructor(heap: EventHeap, random: RandomSource, options: NetworkOptions) {
    this.#heap = heap;
    this.#random = random;
    this.#options = options;
  }

  /** Cuts a zone off from all other zones, or heals the cut. */
  setCut(zone: string, isCut: boolean): void {
    if (isCut) this.#cutZones.add(zone);
    else this.#cutZones.delete(zone);
  }

  /** Whether no cut separates the two zones. */
  isLinked(zoneA: string, zoneB: string): boolean {
    if (zoneA === zoneB) return true;
    return !this.#cutZones.has(zoneA) && !this.#cutZones.has(zoneB);
  }

  /** Delivers in order on one link, and drops messages across a cut. */
  deliver(
    link: string,
    zoneA: string,
    zoneB: string,
    action: () => void,
  ): void {
    if (!this.isLinked(zoneA, zoneB)) return;
    const arrivalMs = Math.max(
      this.#heap.nowMs + this.drawDelayMs(zoneA, zoneB),
      this.#lastArrivalMs.get(link) ?? 0,
    );
    this.#lastArrivalMs.set(link, arrivalMs);
    this.#heap.at(arrivalMs, () => {
      if (this.isLinked(zoneA, zoneB)) action();
    });
  }

  /** Draws a random one-way delay. */
  drawDelayMs(zoneA: string, zoneB: string): number {
    const baseMs = zoneA === zoneB
      ? this.#options.sameZoneDelayMs
      : this.#options.otherZoneDelayMs;
    const jitterMs = this.#random.exponential(
      baseMs * this.#options.jitterRatio,
    );
    const isLost = zoneA !== zoneB &&
      this.#random.chance(this.#options.lossProbability);
    return baseMs + jitterMs + (isLost ? this.#options.retransmitMs : 0);
  }
}
