import { err, ok, type Result } from "neverthrow";
import {
  CONFIG_HEAD_KEY,
  ConfigFollower,
  type ConfigHead,
  type FollowerAction,
  type ObjectSet,
  parseJson,
} from "@coltsfootford/core";
import {
  type KeyValueClient,
  MAX_PARTS_PER_READ,
  readConfigParts,
} from "@coltsfootford/key-value";
import {
  type CliError,
  createCliError,
  createPlatformError,
} from "../cli_error.ts";
import { sha256Hex } from "./sha256.ts";

/** A read restarts if a concurrent publication deletes parts of the set. */
const MAX_READ_ATTEMPTS = 5;
const PLATFORM = { kind: "platform" } as const;

/** The object set that is published on the platform. */
export interface PublishedSet {
  readonly head: ConfigHead;
  readonly set: ObjectSet;
  /** Revision of the store at which the head was written. */
  readonly modRevision: number;
  /** Digests of all parts of the set. */
  readonly digests: ReadonlySet<string>;
}

/** Reads the published set; returns undefined if nothing is published. */
export async function readPublishedSet(
  client: KeyValueClient,
): Promise<Result<PublishedSet | undefined, CliError>> {
  for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
    const entry = await client.get(CONFIG_HEAD_KEY);
    if (entry.isErr()) return err(createPlatformError(entry.error));
    if (!entry.value) return ok(undefined);
    const { value, modRevision } = entry.value;
    const read = await readSet(client, value);
    if (read.isErr()) return err(read.error);
    if (read.value) return ok({ ...read.value, modRevision });
  }
  const message = "parts of the published set are missing; publish it again";
  return err(createCliError("not-found", "published.read-parts", message));
}

/** Reads the parts of a head; returns undefined if one is missing. */
async function readSet(
  client: KeyValueClient,
  headText: string,
): Promise<
  Result<Omit<PublishedSet, "modRevision"> | undefined, CliError>
> {
  const follower = new ConfigFollower(sha256Hex);
  const digests = new Set<string>();
  let rejection = findRejection(
    follower.offerHead(parseJson(headText), PLATFORM),
  );
  while (!rejection && follower.wantedParts) {
    const wanted = follower.wantedParts.digests.slice(0, MAX_PARTS_PER_READ);
    const texts = await readConfigParts(client, wanted);
    if (texts.isErr()) return err(createPlatformError(texts.error));
    if (texts.value.size < wanted.length) return ok(undefined);
    for (const [digest, text] of texts.value) {
      digests.add(digest);
      rejection ??= findRejection(follower.offerPart(digest, text, PLATFORM));
    }
  }
  if (rejection) return err(rejection);
  const applied = follower.applied;
  return ok(applied && { ...applied, digests });
}

function findRejection(
  actions: readonly FollowerAction[],
): CliError | undefined {
  const rejection = actions.find((action) => action.kind === "refuse");
  if (!rejection) return undefined;
  return createCliError(
    "invalid-objects",
    "published.read",
    `the published set is invalid: ${rejection.message}`,
  );
}
