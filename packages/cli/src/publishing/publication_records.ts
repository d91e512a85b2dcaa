import { err, ok, type Result } from "neverthrow";
import {
  CONFIG_RECORD_PREFIX,
  formatObjectChange,
  type ObjectChange,
  parseJson,
  type PublicationMetadata,
  type PublicationRecord,
  publicationRecordKey,
  publicationRecordSchema,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { type CliError, createPlatformError } from "../cli_error.ts";

/** Records that are kept; an older one is deleted by each publication. */
export const KEPT_RECORDS = 500;
/** Changes that a record lists by name. */
const MAX_LISTED_CHANGES = 100;
/** Changes that are shown of one publication. */
const MAX_SHOWN_CHANGES = 20;

/** Creates the record of a publication. */
export function createPublicationRecord(
  facts: PublicationMetadata,
  changes: readonly ObjectChange[],
): PublicationRecord {
  return {
    ...facts,
    changes: changes.slice(0, MAX_LISTED_CHANGES),
    changeCount: changes.length,
  };
}

/** Reads the records after a revision, oldest first. */
export async function readRecordsAfter(
  client: KeyValueClient,
  revision: number,
): Promise<Result<PublicationRecord[], CliError>> {
  const answer = await client.range({
    prefix: CONFIG_RECORD_PREFIX,
    fromKey: publicationRecordKey(revision + 1),
  });
  if (answer.isErr()) return err(createPlatformError(answer.error));
  return ok(answer.value.entries.flatMap((entry) => {
    const parsed = publicationRecordSchema.safeParse(parseJson(entry.value));
    return parsed.success ? [parsed.data] : [];
  }));
}

/** Writes a record for people: who, when, and what changed. */
export function formatRecord(record: PublicationRecord): string[] {
  const at = new Date(record.publishedAtMs).toISOString();
  const shown = record.changes.slice(0, MAX_SHOWN_CHANGES);
  const hiddenCount = record.changeCount - shown.length;
  return [
    `revision ${record.revision} by ${record.publishedBy} at ${at}:`,
    ...shown.map((change) => `  ${formatObjectChange(change)}`),
    ...(hiddenCount > 0 ? [`  and ${hiddenCount} more`] : []),
  ];
}
