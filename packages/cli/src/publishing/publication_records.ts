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

/** Maximum stored records; each publication deletes the record beyond it. */
export const MAX_STORED_RECORDS = 500;
/** Maximum changes that a record lists by name. */
const MAX_LISTED_CHANGES = 100;
/** Maximum changes that are printed for a publication. */
const MAX_SHOWN_CHANGES = 20;

/** Creates the record of a publication. */
export function createPublicationRecord(
  metadata: PublicationMetadata,
  changes: readonly ObjectChange[],
): PublicationRecord {
  return {
    ...metadata,
    changes: changes.slice(0, MAX_LISTED_CHANGES),
    changeCount: changes.length,
  };
}

/** Reads the records after a revision, oldest first; skips invalid ones. */
export async function readRecordsAfter(
  client: KeyValueClient,
  revision: number,
): Promise<Result<PublicationRecord[], CliError>> {
  const result = await client.range({
    prefix: CONFIG_RECORD_PREFIX,
    fromKey: publicationRecordKey(revision + 1),
  });
  if (result.isErr()) return err(createPlatformError(result.error));
  return ok(result.value.entries.flatMap((entry) => {
    const parsed = publicationRecordSchema.safeParse(parseJson(entry.value));
    return parsed.success ? [parsed.data] : [];
  }));
}

/** Formats a record as text: operator, time and changes. */
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
