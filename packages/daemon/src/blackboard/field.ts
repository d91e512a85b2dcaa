/** Cancels a subscription to a field. */
export type CancelSubscription = () => void;

/** Write access to a field, held by the only controller that may write it. */
export interface FieldWriter<T> {
  write(value: T): void;
}

/**
 * One typed field of the blackboard. All controllers can read it. Only the
 * controller that claimed the writer can change it; the claim is checked at
 * start.
 */
export class Field<T> {
  readonly #name: string;
  #value: T;
  #owner: string | undefined;
  readonly #listeners = new Set<(value: T) => void>();

  constructor(name: string, initialValue: T) {
    this.#name = name;
    this.#value = initialValue;
  }

  get owner(): string | undefined {
    return this.#owner;
  }

  read(): T {
    return this.#value;
  }

  /** Calls `listener` after each write. */
  subscribe(listener: (value: T) => void): CancelSubscription {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Makes `owner` the only writer; throws if the field already has one. */
  claimWriter(owner: string): FieldWriter<T> {
    if (this.#owner !== undefined) {
      throw new Error(
        `field ${this.#name} is written by ${this.#owner}, not by ${owner}`,
      );
    }
    this.#owner = owner;
    return { write: (value) => this.#write(value) };
  }

  #write(value: T): void {
    this.#value = value;
    for (const listener of this.#listeners) listener(value);
  }
}
