/** Keeps the indexes of the highest scores without sorting the whole input. */
export class TopScores {
  readonly #capacity: number;
  readonly #scores: number[] = [];
  readonly #indexes: number[] = [];

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Offers one score. Among equal scores the first offered stays ahead. */
  offer(index: number, score: number): void {
    const length = this.#scores.length;
    if (length === this.#capacity) {
      if (length === 0 || score <= this.#scores[length - 1]!) return;
      this.#scores.pop();
      this.#indexes.pop();
    }
    let position = this.#scores.length;
    while (position > 0 && this.#scores[position - 1]! < score) position--;
    this.#scores.splice(position, 0, score);
    this.#indexes.splice(position, 0, index);
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
