import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded random number generator with the distributions of the bench. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  float(): number {
    return uniformFloat64(this.#generator);
  }

  /** Uniform integer from 0 to `count - 1`. */
  index(count: number): number {
    return uniformInt(this.#generator, 0, count - 1);
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.float() < probability;
  }

  /** Uniform between the bounds. */
  between(low: number, high: number): number {
    return low + (high - low) * this.float();
  }

  /** Exponential with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.float()) * mean;
  }

  /** Log-normal with the given median and sigma of the logarithm. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    const normal = radius * Math.cos(2 * Math.PI * this.float());
    return median * Math.exp(sigma * normal);
  }

  /** A uniformly chosen item. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.index(items.length)]!;
  }

  /** Index drawn by weights, which need not sum to 1. */
  weightedIndex(weights: readonly number[]): number {
    let remainder = this.float() *
      weights.reduce((sum, weight) => sum + weight, 0);
    for (let index = 0; index < weights.length; index++) {
      remainder -= weights[index]!;
      if (remainder < 0) return index;
    }
    return weights.length - 1;
  }
}
