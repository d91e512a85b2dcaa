import { CONFIG_PART_PREFIX } from "@coltsfootford/core";
import type { KeyValueClient, KeyValueResult } from "./key_value_client.ts";

/** Most parts that one call reads. */
export const MAX_PARTS_PER_READ = 64;

/**
 * Reads parts of the configuration by digest, in one call. The answer has the
 * texts of those that are there. No digest is checked here.
 */
export async function readConfigParts(
  client: KeyValueClient,
  digests: readonly string[],
): KeyValueResult<ReadonlyMap<string, string>> {
  const answer = await client.txn({
    compares: [],
    success: digests.slice(0, MAX_PARTS_PER_READ).map((digest) => ({
      kind: "range",
      selection: { key: CONFIG_PART_PREFIX + digest },
    })),
    failure: [],
  });
  return answer.map((txn) => {
    const texts = new Map<string, string>();
    for (const entry of txn.operations.flatMap((item) => item.entries)) {
      texts.set(entry.key.slice(CONFIG_PART_PREFIX.length), entry.value);
    }
    return texts;
  });
}
