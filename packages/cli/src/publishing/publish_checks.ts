import { err, ok, type Result } from "neverthrow";
import {
  CONFIG_HEAD_KEY,
  parseConfigHead,
  parseJson,
  publicationRecordKey,
  publicationRecordSchema,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import {
  type CliError,
  createCliError,
  createPlatformError,
} from "../cli_error.ts";
import type { AdminClient } from "../daemons/index.ts";
import type { BaseFile } from "../objects/index.ts";
import type { PublishedSet } from "./published_set.ts";
import { createConflictError } from "./publish_errors.ts";

/**
 * Resolves the pending publication of an earlier run. If it took effect, it
 * becomes the base.
 */
export async function resolvePending(
  client: KeyValueClient,
  file: BaseFile,
  current: PublishedSet | undefined,
): Promise<Result<BaseFile, CliError>> {
  const { base, pending } = file;
  const withoutPending = base ? { base } : {};
  if (!pending) return ok(withoutPending);
  if (current?.head.nonce === pending.nonce) return ok({ base: pending });
  const entry = await client.get(publicationRecordKey(pending.revision));
  if (entry.isErr()) return err(createPlatformError(entry.error));
  const record = publicationRecordSchema.safeParse(
    parseJson(entry.value?.value ?? ""),
  );
  const isOwn = record.success && record.data.nonce === pending.nonce;
  return ok(isOwn ? { base: pending } : withoutPending);
}

/**
 * Rejects files that are not based on the published revision. Publishing them
 * would revert the changes that others have published since.
 */
export async function checkBase(
  client: KeyValueClient,
  file: BaseFile,
  givenRevision: number | undefined,
  current: PublishedSet | undefined,
): Promise<CliError | undefined> {
  const currentRevision = current?.head.revision ?? 0;
  if (givenRevision !== undefined) {
    if (givenRevision === currentRevision) return undefined;
    return await createConflictError(client, givenRevision);
  }
  if (!current) return undefined;
  if (file.base?.nonce === current.head.nonce) return undefined;
  if (file.base) return await createConflictError(client, file.base.revision);
  const message =
    `revision ${currentRevision} is published and these files have no base revision`;
  return createCliError("conflict", "publish.base", message, {
    details: [
      `See coltsfoot diff; to replace the published set, use --base ${currentRevision}.`,
    ],
  });
}

/** Inputs of the choice of a revision. */
export interface RevisionQuery {
  readonly client: KeyValueClient;
  readonly admin: AdminClient;
  readonly daemons: readonly string[];
  /** The revision of the head that was read; 0 without a head. */
  readonly currentRevision: number;
  readonly isAfterRestore: boolean;
}

/**
 * Chooses the next revision. A daemon with a newer revision than the platform
 * means that the platform was restored to an older state. The daemons would
 * reject the platform's next revision.
 */
export async function chooseRevision(
  { client, admin, daemons, currentRevision, isAfterRestore }: RevisionQuery,
): Promise<Result<number, CliError>> {
  const statuses = await Promise.all(
    daemons.map((url) => admin.getStatus(url)),
  );
  const revisions = statuses.map((status) =>
    status.isOk() ? status.value.configRevision : 0
  );
  const fleetRevision = Math.max(0, ...revisions);
  if (fleetRevision <= currentRevision) return ok(currentRevision + 1);
  // Another operator may have published since the head was read.
  const latestRevision = await readHeadRevision(client);
  if (latestRevision.isErr()) return err(latestRevision.error);
  if (latestRevision.value > currentRevision) {
    return err(await createConflictError(client, currentRevision));
  }
  if (isAfterRestore) return ok(fleetRevision + 1);
  const message =
    `the daemons have revision ${fleetRevision} in force, but the platform has ` +
    `${currentRevision}: the platform was restored to an older state`;
  return err(
    createCliError("platform-restored", "publish.revision", message, {
      details: [
        `Compare your files with the revision in force, then publish with --after-restore --base ${currentRevision}.`,
      ],
    }),
  );
}

async function readHeadRevision(
  client: KeyValueClient,
): Promise<Result<number, CliError>> {
  const entry = await client.get(CONFIG_HEAD_KEY);
  if (entry.isErr()) return err(createPlatformError(entry.error));
  if (!entry.value) return ok(0);
  return parseConfigHead(parseJson(entry.value.value))
    .map(({ revision }) => revision)
    .mapErr(createPlatformError);
}
