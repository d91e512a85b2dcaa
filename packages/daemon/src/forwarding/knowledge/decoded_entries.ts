import type { KeyValueEntry } from "@coltsfootford/key-value";

interface DecodedEntry<Value> {
  readonly text: string;
  readonly decoded: Value | undefined;
}

/** Decodes the entries of a prefix, and each value only once. */
export class DecodedEntries<Value> {
  readonly #decode: (key: string, text: string) => Value | undefined;
  #byKey: ReadonlyMap<string, DecodedEntry<Value>> = new Map();

  /** `decode` returns undefined, and logs why, where a value is invalid. */
  constructor(decode: (key: string, text: string) => Value | undefined) {
    this.#decode = decode;
  }

  /** The values of all current entries, without the invalid ones. */
  update(entries: readonly KeyValueEntry[]): Value[] {
    const byKey = new Map<string, DecodedEntry<Value>>();
    const values: Value[] = [];
    for (const { key, value: text } of entries) {
      const known = this.#byKey.get(key);
      const decoded = known?.text === text
        ? known.decoded
        : this.#decode(key, text);
      byKey.set(key, { text, decoded });
      if (decoded !== undefined) values.push(decoded);
    }
    this.#byKey = byKey;
    return values;
  }
}
