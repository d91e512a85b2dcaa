import type { PublicationMetadata } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { type CliError, createCliError } from "../cli_error.ts";
import { formatRecord, readRecordsAfter } from "./publication_records.ts";

/** Creates the error of a publication with an outdated base revision. */
export async function createConflictError(
  client: KeyValueClient,
  baseRevision: number,
): Promise<CliError> {
  const records = await readRecordsAfter(client, baseRevision);
  const lines = records.isOk() ? records.value.flatMap(formatRecord) : [];
  const latest = records.isOk() ? records.value.at(-1) : undefined;
  const remedy = latest
    ? `Apply these changes to your files, then publish with --base ${latest.revision}.`
    : "See coltsfoot diff, then publish with --base and the revision it shows.";
  return createCliError(
    "conflict",
    "publish.swap",
    "another operator has published since; your files were not published",
    { details: [...lines, remedy] },
  );
}

/** Creates the error of a publication whose responses were all lost. */
export function createUnknownOutcomeError(
  { revision }: PublicationMetadata,
): CliError {
  return createCliError(
    "outcome-unknown",
    "publish.swap",
    `the platform's responses were lost; revision ${revision} may or may not have been published`,
    {
      details: [
        "Run the same publish command again; it detects its own write.",
      ],
    },
  );
}
