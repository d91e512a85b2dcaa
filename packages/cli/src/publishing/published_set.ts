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

/** Parts may vanish while another operator publishes; then it starts anew. */
const MAX_READS = 5;
const PLATFORM = { kind: "platform" } as const;

/** The set that the platform holds. */
export interface PublishedSet {
  readonly head: ConfigHead;
  readonly set: ObjectSet;
  /** Revision of the store at which the head was written. */
  readonly modRevision: number;
  /** Digests of all parts of the set. */
  readonly digests: ReadonlySet<string>;
}

/** Reads the set in the platform; undefined where none was published. */
export async function readPublishedSet(
  client: KeyValueClient,
): Promise<Result<PublishedSet | undefined, CliError>> {
  for (let attempt = 0; attempt < MAX_READS; attempt++) {
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

/** Reads the parts of a head; undefined where one is missing. */
async function readSet(
  client: KeyValueClient,
  headText: string,
): Promise<
  Result<Omit<PublishedSet, "modRevision"> | undefined, CliError>
> {
  const follower = new ConfigFollower(sha256Hex);
  const digests = new Set<string>();
  let refusal = findRefusal(follower.offerHead(parseJson(headText), PLATFORM));
  while (!refusal && follower.wantedParts) {
    const wanted = follower.wantedParts.digests.slice(0, MAX_PARTS_PER_READ);
    const texts = await readConfigParts(client, wanted);
    if (texts.isErr()) return err(createPlatformError(texts.error));
    if (texts.value.size < wanted.length) return ok(undefined);
    for (const [digest, text] of texts.value) {
      digests.add(digest);
      refusal ??= findRefusal(follower.offerPart(digest, text, PLATFORM));
    }
  }
  if (refusal) return err(refusal);
  const applied = follower.applied;
  return ok(applied && { ...applied, digests });
}

function findRefusal(actions: readonly FollowerAction[]): CliError | undefined {
  const refusal = actions.find((action) => action.kind === "refuse");
  if (!refusal) return undefined;
  return createCliError(
    "invalid-objects",
    "published.read",
    `the published set can't be used: ${refusal.message}`,
  );
}
