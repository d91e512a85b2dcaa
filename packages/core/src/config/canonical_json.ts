/**
 * Serializes a value as JSON without whitespace and with the fields of every
 * object sorted by name, so that equal values have equal digests.
 */
export function writeCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => sortFields(item));
}

function sortFields(item: unknown): unknown {
  if (typeof item !== "object" || item === null || Array.isArray(item)) {
    return item;
  }
  const entries = Object.entries(item);
  entries.sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0));
  return Object.fromEntries(entries);
}
