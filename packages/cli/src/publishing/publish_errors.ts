import type { PublicationMetadata } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { type CliError, createCliError } from "../cli_error.ts";
import { formatRecord, readRecordsAfter } from "./publication_records.ts";

/** The error of a publication that is not based on the one in force. */
export async function createConflictError(
  client: KeyValueClient,
  baseRevision: number,
): Promise<CliError> {
  const records = await readRecordsAfter(client, baseRevision);
  const lines = records.isOk() ? records.value.flatMap(formatRecord) : [];
  const latest = records.isOk() ? records.value.at(-1) : undefined;
  const wayOut = latest
    ? `Take these changes into your files, then publish with --base ${latest.revision}.`
    : "See coltsfoot diff, then publish with --base and the revision it names.";
  return createCliError(
    "conflict",
    "publish.swap",
    "another operator has published since; nothing of yours was published",
    { details: [...lines, wayOut] },
  );
}

/** The error of a publication whose answers were all lost. */
export function createUnknownError(
  { revision }: PublicationMetadata,
): CliError {
  return createCliError(
    "outcome-unknown",
    "publish.swap",
    `the platform's answers were lost; revision ${revision} may or may not have been published`,
    { details: ["Run the same publish again: it recognises its own write."] },
  );
}
