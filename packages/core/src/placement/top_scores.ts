/**
 * Keeps the indexes of the highest scores without sorting all scores. Scores
 * are not negative.
 */
export class TopScores {
  readonly #capacity: number;
  readonly #scores: number[] = [];
  readonly #indexes: number[] = [];
  /** A score must be above this to be kept; initially below any score. */
  lowestScore = -1;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /**
   * Adds a score if it is high enough. Equal scores stay in insertion order.
   */
  offer(index: number, score: number): void {
    const length = this.#scores.length;
    if (score <= this.lowestScore) return;
    if (length === this.#capacity) {
      this.#scores.pop();
      this.#indexes.pop();
    }
    let position = this.#scores.length;
    while (position > 0 && this.#scores[position - 1]! < score) position--;
    this.#scores.splice(position, 0, score);
    this.#indexes.splice(position, 0, index);
    if (this.#scores.length === this.#capacity) {
      this.lowestScore = this.#scores[this.#capacity - 1] ?? Infinity;
    }
  }

  /** The kept indexes, highest score first. */
  indexes(): readonly number[] {
    return this.#indexes;
  }

  /** The kept scores, highest first. */
  scores(): readonly number[] {
    return this.#scores;
  }
}
