import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Delay and packet loss of a link between two daemons. */
export interface LinkOptions {
  /** One-way delay between VMs of the same zone. */
  readonly sameZoneDelayMs: number;
  /** One-way delay between VMs of different zones. */
  readonly crossZoneDelayMs: number;
  /** Maximum random addition to the delay. */
  readonly jitterMs: number;
  /** Ratio of lost packets outside bursts. */
  readonly lossRatio: number;
  /** Mean number of loss bursts per hour on a link. */
  readonly burstsPerHour: number;
  readonly burstMs: number;
  /** Ratio of lost packets within a burst. */
  readonly burstLossRatio: number;
}

/** Links without jitter or loss. */
export const CLEAN_LINKS: LinkOptions = {
  sameZoneDelayMs: 0.3,
  crossZoneDelayMs: 3.5,
  jitterMs: 0,
  lossRatio: 0,
  burstsPerHour: 0,
  burstMs: 0,
  burstLossRatio: 0,
};

/** Links with a delay of a few ms, jitter, 2% loss and bursts of loss. */
export const LOSSY_LINKS: LinkOptions = {
  sameZoneDelayMs: 1,
  crossZoneDelayMs: 3.5,
  jitterMs: 4,
  lossRatio: 0.02,
  burstsPerHour: 20,
  burstMs: 1500,
  burstLossRatio: 0.7,
};

const MIN_RETRANSMIT_MS = 200;
const MAX_RETRANSMIT_MS = 10_000;
const MS_PER_HOUR = 3_600_000;

/**
 * One direction of a TCP connection in virtual time. Messages arrive in order,
 * and a lost packet delays all later messages until its retransmission.
 */
export class FakeLink {
  readonly #options: LinkOptions;
  readonly #delayMs: number;
  readonly #random: RandomGenerator;
  #lastArrivalMs = 0;
  #burstStartMs: number;

  constructor(
    options: LinkOptions,
    isWithinZone: boolean,
    random: RandomGenerator,
  ) {
    this.#options = options;
    this.#delayMs = isWithinZone
      ? options.sameZoneDelayMs
      : options.crossZoneDelayMs;
    this.#random = random;
    this.#burstStartMs = this.#drawNextBurstStartMs(0);
  }

  /** Computes and records the arrival time of a message sent at `nowMs`. */
  computeArrivalMs(nowMs: number): number {
    let sentAtMs = nowMs;
    let retransmitDelayMs = MIN_RETRANSMIT_MS;
    while (this.#isLost(sentAtMs)) {
      sentAtMs += retransmitDelayMs;
      retransmitDelayMs = Math.min(retransmitDelayMs * 2, MAX_RETRANSMIT_MS);
    }
    const jitterMs = this.#options.jitterMs * uniformFloat64(this.#random);
    const arrivalMs = sentAtMs + this.#delayMs + jitterMs;
    this.#lastArrivalMs = Math.max(this.#lastArrivalMs, arrivalMs);
    return this.#lastArrivalMs;
  }

  #isLost(atMs: number): boolean {
    const { burstMs, burstLossRatio, lossRatio } = this.#options;
    while (atMs >= this.#burstStartMs + burstMs && burstMs > 0) {
      this.#burstStartMs = this.#drawNextBurstStartMs(
        this.#burstStartMs + burstMs,
      );
    }
    const isInBurst = atMs >= this.#burstStartMs;
    const ratio = isInBurst ? burstLossRatio : lossRatio;
    return uniformFloat64(this.#random) < ratio;
  }

  #drawNextBurstStartMs(fromMs: number): number {
    if (this.#options.burstsPerHour === 0) return Number.POSITIVE_INFINITY;
    const meanMs = MS_PER_HOUR / this.#options.burstsPerHour;
    return fromMs - Math.log(1 - uniformFloat64(this.#random)) * meanMs;
  }
}
