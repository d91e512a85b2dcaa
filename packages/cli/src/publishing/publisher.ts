import { err, ok, type Result } from "neverthrow";
import {
  CONFIG_HEAD_KEY,
  CONFIG_PART_PREFIX,
  createPublication,
  diffObjects,
  listObjects,
  type ObjectChange,
  type ObjectSet,
  parseConfigHead,
  parseJson,
  type Publication,
  type PublicationMetadata,
  publicationRecordKey,
  publicationRecordSchema,
  type TimerService,
} from "@coltsfootford/core";
import {
  isCertainlyNotApplied,
  type KeyValueClient,
  type KeyValueEntry,
  type TxnOperation,
  type TxnRequest,
} from "@coltsfootford/key-value";
import { type CliError, createPlatformError } from "../cli_error.ts";
import {
  createConflictError,
  createUnknownOutcomeError,
} from "./publish_errors.ts";
import { createHeadSwap, createPartCleanup } from "./publish_transactions.ts";
import type { PublishedSet } from "./published_set.ts";
import { sha256Hex } from "./sha256.ts";

/** Maximum number of parts in a transaction. */
const MAX_PARTS_PER_TXN = 48;
/** Default time limit for a publication whose responses are lost. */
const DEFAULT_RESOLVE_LIMIT_MS = 30_000;
const RETRY_DELAY_MS = 250;

/** The set to publish and the published set that it replaces. */
export interface PublishRequest {
  readonly set: ObjectSet;
  /** The published set; undefined before the first publication. */
  readonly current: PublishedSet | undefined;
  readonly metadata: PublicationMetadata;
}

/** A publication that took effect. */
export interface PublishedOutcome {
  readonly metadata: PublicationMetadata;
  readonly changes: readonly ObjectChange[];
  /** Whether a response was lost and the write was confirmed by a read. */
  readonly wasReadBack: boolean;
}

/** Dependencies of a `Publisher`. */
export interface PublisherDependencies {
  readonly client: KeyValueClient;
  readonly timer: TimerService;
  readonly resolveLimitMs?: number;
}

type SwapState = "applied" | "lost-race" | "open";

/**
 * Publishes a set. Writes the parts first, then head and record in one
 * transaction, which takes effect only if the head is still the one that was
 * read. After a lost response the same transaction is sent again: it can take
 * effect only once, and the nonce in head and record identifies the own write.
 */
export class Publisher {
  readonly #client: KeyValueClient;
  readonly #timer: TimerService;
  readonly #resolveLimitMs: number;

  constructor(dependencies: PublisherDependencies) {
    this.#client = dependencies.client;
    this.#timer = dependencies.timer;
    this.#resolveLimitMs = dependencies.resolveLimitMs ??
      DEFAULT_RESOLVE_LIMIT_MS;
  }

  /**
   * Publishes the set and retries until the outcome is known or the time limit
   * has elapsed.
   */
  async publish(
    request: PublishRequest,
  ): Promise<Result<PublishedOutcome, CliError>> {
    const { set, current, metadata } = request;
    const publication = createPublication(
      listObjects(set),
      metadata,
      current?.head.layout,
      sha256Hex,
    );
    const changes = diffObjects(current?.set, set);
    const written = await this.#writeParts(publication, current);
    if (written.isErr()) return err(written.error);
    const swap = createHeadSwap(metadata, current, publication, changes);
    const committed = await this.#commitHead(swap, request);
    if (committed.isErr()) return err(committed.error);
    await this.#deleteUnused(publication, current);
    return ok({ metadata, changes, wasReadBack: committed.value });
  }

  /**
   * Writes the parts that the current set does not contain, even if they exist
   * on the platform already. Another publisher's cleanup does not delete a part
   * whose last write is later than the head.
   */
  async #writeParts(
    publication: Publication,
    current: PublishedSet | undefined,
  ): Promise<Result<void, CliError>> {
    const missing = [...publication.texts].filter(([digest]) =>
      !current?.digests.has(digest)
    );
    for (let start = 0; start < missing.length; start += MAX_PARTS_PER_TXN) {
      const success = missing.slice(start, start + MAX_PARTS_PER_TXN).map(
        ([digest, value]): TxnOperation => ({
          kind: "put",
          key: CONFIG_PART_PREFIX + digest,
          value,
        }),
      );
      const request = { compares: [], success, failure: [] };
      const written = await this.#writeUntilConfirmed(request);
      if (written.isErr()) return err(written.error);
    }
    return ok(undefined);
  }

  /** Retries an idempotent write while its outcome is unknown. */
  async #writeUntilConfirmed(
    request: TxnRequest,
  ): Promise<Result<void, CliError>> {
    const deadlineAtMs = this.#timer.nowMs() + this.#resolveLimitMs;
    for (;;) {
      const result = await this.#client.txn(request);
      if (result.isOk()) return ok(undefined);
      if (
        isCertainlyNotApplied(result.error) ||
        this.#timer.nowMs() > deadlineAtMs
      ) {
        return err(createPlatformError(result.error));
      }
      await this.#waitBeforeRetry();
    }
  }

  /** Commits head and record; returns whether the outcome was read back. */
  async #commitHead(
    swap: TxnRequest,
    request: PublishRequest,
  ): Promise<Result<boolean, CliError>> {
    const deadlineAtMs = this.#timer.nowMs() + this.#resolveLimitMs;
    let mayBeApplied = false;
    for (;;) {
      const result = await this.#client.txn(swap);
      if (result.isOk() && result.value.succeeded) return ok(mayBeApplied);
      if (result.isOk()) {
        const head = result.value.operations[0]?.entries[0];
        const state = await this.#readSwapState(request, head);
        if (state.isErr()) return err(state.error);
        if (state.value === "applied") return ok(true);
        if (state.value === "lost-race") return await this.#reject(request);
      }
      if (result.isErr()) {
        mayBeApplied ||= !isCertainlyNotApplied(result.error);
        if (!mayBeApplied) return err(createPlatformError(result.error));
      }
      if (this.#timer.nowMs() > deadlineAtMs) {
        return err(createUnknownOutcomeError(request.metadata));
      }
      await this.#waitBeforeRetry();
    }
  }

  /**
   * Determines the state of the swap from the current head. If the own
   * publication took effect and another followed, the own record proves it.
   */
  async #readSwapState(
    { metadata, current }: PublishRequest,
    entry: KeyValueEntry | undefined,
  ): Promise<Result<SwapState, CliError>> {
    const head = entry && parseConfigHead(parseJson(entry.value));
    if (head?.isOk() && head.value.nonce === metadata.nonce) {
      return ok("applied");
    }
    if (entry?.modRevision === current?.modRevision) return ok("open");
    const record = await this.#client.get(
      publicationRecordKey(metadata.revision),
    );
    if (record.isErr()) return ok("open");
    const parsed = publicationRecordSchema.safeParse(
      parseJson(record.value?.value ?? ""),
    );
    const isOwn = parsed.success && parsed.data.nonce === metadata.nonce;
    return ok(isOwn ? "applied" : "lost-race");
  }

  async #reject(
    { current }: PublishRequest,
  ): Promise<Result<boolean, CliError>> {
    const revision = current?.head.revision ?? 0;
    const error = await createConflictError(this.#client, revision);
    return err(error);
  }

  /**
   * Deletes the parts that only the replaced set used. A part that was written
   * after the own head may belong to a publication in progress and is retained.
   * A failure here is ignored: the remaining parts only use space.
   */
  async #deleteUnused(
    publication: Publication,
    current: PublishedSet | undefined,
  ): Promise<void> {
    const unused = [...current?.digests ?? []].filter((digest) =>
      !publication.texts.has(digest)
    );
    const head = await this.#client.get(CONFIG_HEAD_KEY);
    if (head.isErr() || !head.value) return;
    const parsed = parseConfigHead(parseJson(head.value.value));
    const isOwn = parsed.isOk() &&
      parsed.value.nonce === publication.head.nonce;
    if (!isOwn) return;
    const { modRevision } = head.value;
    for (let start = 0; start < unused.length; start += MAX_PARTS_PER_TXN) {
      const keys = unused.slice(start, start + MAX_PARTS_PER_TXN)
        .map((digest) => CONFIG_PART_PREFIX + digest);
      await this.#client.txn(createPartCleanup(keys, modRevision));
    }
  }

  #waitBeforeRetry(): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(RETRY_DELAY_MS, resolve);
    });
  }
}
