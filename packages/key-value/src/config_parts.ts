import { CONFIG_PART_PREFIX } from "@coltsfootford/core";
import type { KeyValueClient, KeyValueResult } from "./key_value_client.ts";

/** Maximum number of parts that one call reads. */
export const MAX_PARTS_PER_READ = 64;

/**
 * Reads configuration parts by digest in one transaction. Digests after the
 * first `MAX_PARTS_PER_READ` are ignored. The result maps the
 * digest of each existing part to its text. The texts are not verified against
 * their digests.
 */
export async function readConfigParts(
  client: KeyValueClient,
  digests: readonly string[],
): KeyValueResult<ReadonlyMap<string, string>> {
  const result = await client.txn({
    compares: [],
    success: digests.slice(0, MAX_PARTS_PER_READ).map((digest) => ({
      kind: "range",
      selection: { key: CONFIG_PART_PREFIX + digest },
    })),
    failure: [],
  });
  return result.map((txn) => {
    const texts = new Map<string, string>();
    for (const entry of txn.operations.flatMap((item) => item.entries)) {
      texts.set(entry.key.slice(CONFIG_PART_PREFIX.length), entry.value);
    }
    return texts;
  });
}
