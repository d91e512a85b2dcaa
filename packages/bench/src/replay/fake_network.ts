import type { RandomSource } from "../load/index.ts";
import type { EventHeap } from "./event_heap.ts";

/** Delays and losses of the links. */
export interface NetworkOptions {
  readonly sameZoneDelayMs: number;
  readonly otherZoneDelayMs: number;
  /** Mean of the random part of the delay, over the fixed one. */
  readonly jitterRatio: number;
  readonly lossProbability: number;
  /** Time until a lost segment is sent again. */
  readonly retransmitMs: number;
}

/**
 * Links between zones: delayed with jitter, in order for each pair of ends, a
 * loss delays as TCP does. While a zone is cut off, what is sent across is
 * lost.
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

  /** Cuts a zone off from all others, or heals the cut. */
  setCut(zone: string, isCut: boolean): void {
    if (isCut) this.#cutZones.add(zone);
    else this.#cutZones.delete(zone);
  }

  /** Whether two zones can reach each other. */
  isLinked(zoneA: string, zoneB: string): boolean {
    if (zoneA === zoneB) return true;
    return !this.#cutZones.has(zoneA) && !this.#cutZones.has(zoneB);
  }

  /** Delivers in order on one link; nothing arrives across a cut. */
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

  /** One draw of the one-way delay. */
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
