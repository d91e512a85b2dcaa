import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** How a link between two daemons behaves. */
export interface LinkOptions {
  /** One-way delay between VMs of one zone and of two zones. */
  readonly zoneDelayMs: number;
  readonly crossZoneDelayMs: number;
  /** Longest random addition to the delay. */
  readonly jitterMs: number;
  /** Share of lost packets outside bursts. */
  readonly lossRatio: number;
  /** Bursts of loss on a link in an hour. */
  readonly burstsPerHour: number;
  readonly burstMs: number;
  /** Share of lost packets within a burst. */
  readonly burstLossRatio: number;
}

/** Links without any fault. */
export const CLEAN_LINKS: LinkOptions = {
  zoneDelayMs: 0.3,
  crossZoneDelayMs: 3.5,
  jitterMs: 0,
  lossRatio: 0,
  burstsPerHour: 0,
  burstMs: 0,
  burstLossRatio: 0,
};

/** Links of a few ms with jitter, 2% loss and bursts of loss. */
export const LOSSY_LINKS: LinkOptions = {
  zoneDelayMs: 1,
  crossZoneDelayMs: 3.5,
  jitterMs: 4,
  lossRatio: 0.02,
  burstsPerHour: 20,
  burstMs: 1500,
  burstLossRatio: 0.7,
};

const FIRST_RETRANSMIT_MS = 200;
const LONGEST_RETRANSMIT_MS = 10_000;
const MS_PER_HOUR = 3_600_000;

/**
 * One direction of a TCP connection in virtual time: delivery keeps the
 * order, and a lost packet delays everything behind it until it is sent again.
 */
export class FakeLink {
  readonly #options: LinkOptions;
  readonly #delayMs: number;
  readonly #random: RandomGenerator;
  #deliveredAtMs = 0;
  #burstFromMs: number;

  constructor(
    options: LinkOptions,
    isWithinZone: boolean,
    random: RandomGenerator,
  ) {
    this.#options = options;
    this.#delayMs = isWithinZone
      ? options.zoneDelayMs
      : options.crossZoneDelayMs;
    this.#random = random;
    this.#burstFromMs = this.#nextBurst(0);
  }

  /** When a message that is sent at `nowMs` arrives. */
  deliverAtMs(nowMs: number): number {
    let sentAtMs = nowMs;
    let waitMs = FIRST_RETRANSMIT_MS;
    while (this.#isLost(sentAtMs)) {
      sentAtMs += waitMs;
      waitMs = Math.min(waitMs * 2, LONGEST_RETRANSMIT_MS);
    }
    const jitterMs = this.#options.jitterMs * uniformFloat64(this.#random);
    const arrivalMs = sentAtMs + this.#delayMs + jitterMs;
    this.#deliveredAtMs = Math.max(this.#deliveredAtMs, arrivalMs);
    return this.#deliveredAtMs;
  }

  #isLost(atMs: number): boolean {
    const { burstMs, burstLossRatio, lossRatio } = this.#options;
    while (atMs >= this.#burstFromMs + burstMs && burstMs > 0) {
      this.#burstFromMs = this.#nextBurst(this.#burstFromMs + burstMs);
    }
    const isInBurst = atMs >= this.#burstFromMs;
    const ratio = isInBurst ? burstLossRatio : lossRatio;
    return uniformFloat64(this.#random) < ratio;
  }

  #nextBurst(fromMs: number): number {
    if (this.#options.burstsPerHour === 0) return Number.POSITIVE_INFINITY;
    const meanMs = MS_PER_HOUR / this.#options.burstsPerHour;
    return fromMs - Math.log(1 - uniformFloat64(this.#random)) * meanMs;
  }
}
