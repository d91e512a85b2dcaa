import type { HeldBytes } from "./held_bytes.ts";

/** A part of a holding whose size changes. */
export class HeldPart {
  readonly #held: HeldBytes;
  #bytes = 0;

  constructor(held: HeldBytes) {
    this.#held = held;
  }

  /** Charges or discharges the difference; may evict the holding. */
  resize(bytes: number): void {
    const addedBytes = bytes - this.#bytes;
    if (addedBytes === 0) return;
    this.#bytes = bytes;
    if (addedBytes > 0) this.#held.charge(addedBytes);
    else this.#held.discharge(-addedBytes);
  }
}
