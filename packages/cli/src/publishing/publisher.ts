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
import { createConflictError, createUnknownError } from "./publish_errors.ts";
import { createCleanUp, createSwap } from "./publish_transactions.ts";
import type { PublishedSet } from "./published_set.ts";
import { sha256Hex } from "./sha256.ts";

/** Parts that go into one transaction. */
const MAX_PARTS_PER_TXN = 48;
/** Longest time for a publication whose answers get lost. */
const DEFAULT_RESOLVE_LIMIT_MS = 30_000;
/** Wait before reading back or sending again. */
const RESOLVE_WAIT_MS = 250;

/** What is to be published, on top of what. */
export interface PublishRequest {
  readonly set: ObjectSet;
  /** What the platform holds; undefined before the first publication. */
  readonly current: PublishedSet | undefined;
  readonly facts: PublicationMetadata;
}

/** A publication that took effect. */
export interface PublishedOutcome {
  readonly facts: PublicationMetadata;
  readonly changes: readonly ObjectChange[];
  /** Whether an answer was lost and the write was found by reading back. */
  readonly wasReadBack: boolean;
}

/** What a `Publisher` is built from. */
export interface PublisherParts {
  readonly client: KeyValueClient;
  readonly timer: TimerService;
  readonly resolveLimitMs?: number;
}

type SwapState = "applied" | "lost-race" | "open";

/**
 * Publishes a set: parts first, then head and record in one transaction that
 * takes effect only where the head is still the one that was read. A lost
 * answer is settled by sending the same transaction again: it can take effect
 * only once, and the nonce in head and record tells whether it was the own.
 */
export class Publisher {
  readonly #client: KeyValueClient;
  readonly #timer: TimerService;
  readonly #resolveLimitMs: number;

  constructor(parts: PublisherParts) {
    this.#client = parts.client;
    this.#timer = parts.timer;
    this.#resolveLimitMs = parts.resolveLimitMs ?? DEFAULT_RESOLVE_LIMIT_MS;
  }

  /** Publishes, and returns once it is certain what became of it. */
  async publish(
    request: PublishRequest,
  ): Promise<Result<PublishedOutcome, CliError>> {
    const { set, current, facts } = request;
    const publication = createPublication(
      listObjects(set),
      facts,
      current?.head.layout,
      sha256Hex,
    );
    const changes = diffObjects(current?.set, set);
    const written = await this.#writeParts(publication, current);
    if (written.isErr()) return err(written.error);
    const swap = createSwap(facts, current, publication, changes);
    const settled = await this.#settle(swap, request);
    if (settled.isErr()) return err(settled.error);
    await this.#deleteUnused(publication, current);
    return ok({ facts, changes, wasReadBack: settled.value });
  }

  /**
   * Writes the parts that the current set lacks. They are written again even
   * where the platform has them: a part whose last write is later than the
   * head is safe from another publisher's clean-up.
   */
  async #writeParts(
    publication: Publication,
    current: PublishedSet | undefined,
  ): Promise<Result<void, CliError>> {
    const fresh = [...publication.texts].filter(([digest]) =>
      !current?.digests.has(digest)
    );
    for (let start = 0; start < fresh.length; start += MAX_PARTS_PER_TXN) {
      const success = fresh.slice(start, start + MAX_PARTS_PER_TXN).map(
        ([digest, value]): TxnOperation => ({
          kind: "put",
          key: CONFIG_PART_PREFIX + digest,
          value,
        }),
      );
      const request = { compares: [], success, failure: [] };
      const written = await this.#writeUntilAnswered(request);
      if (written.isErr()) return err(written.error);
    }
    return ok(undefined);
  }

  /** Sends an idempotent write until one answer comes back. */
  async #writeUntilAnswered(
    request: TxnRequest,
  ): Promise<Result<void, CliError>> {
    const limitMs = this.#timer.nowMs() + this.#resolveLimitMs;
    for (;;) {
      const answer = await this.#client.txn(request);
      if (answer.isOk()) return ok(undefined);
      if (
        isCertainlyNotApplied(answer.error) || this.#timer.nowMs() > limitMs
      ) {
        return err(createPlatformError(answer.error));
      }
      await this.#wait();
    }
  }

  /** Returns whether the outcome had to be read back. */
  async #settle(
    swap: TxnRequest,
    request: PublishRequest,
  ): Promise<Result<boolean, CliError>> {
    const limitMs = this.#timer.nowMs() + this.#resolveLimitMs;
    let mayBeApplied = false;
    for (;;) {
      const answer = await this.#client.txn(swap);
      if (answer.isOk() && answer.value.succeeded) return ok(mayBeApplied);
      if (answer.isOk()) {
        const head = answer.value.operations[0]?.entries[0];
        const state = await this.#readState(request, head);
        if (state.isErr()) return err(state.error);
        if (state.value === "applied") return ok(true);
        if (state.value === "lost-race") return await this.#refuse(request);
      }
      if (answer.isErr()) {
        mayBeApplied ||= !isCertainlyNotApplied(answer.error);
        if (!mayBeApplied) return err(createPlatformError(answer.error));
      }
      if (this.#timer.nowMs() > limitMs) {
        return err(createUnknownError(request.facts));
      }
      await this.#wait();
    }
  }

  /**
   * Tells what a head other than the expected one means. The own publication
   * may have taken effect and been followed by another; its record shows it.
   */
  async #readState(
    { facts, current }: PublishRequest,
    entry: KeyValueEntry | undefined,
  ): Promise<Result<SwapState, CliError>> {
    const head = entry && parseConfigHead(parseJson(entry.value));
    if (head?.isOk() && head.value.nonce === facts.nonce) return ok("applied");
    if (entry?.modRevision === current?.modRevision) return ok("open");
    const record = await this.#client.get(publicationRecordKey(facts.revision));
    if (record.isErr()) return ok("open");
    const parsed = publicationRecordSchema.safeParse(
      parseJson(record.value?.value ?? ""),
    );
    const isOwn = parsed.success && parsed.data.nonce === facts.nonce;
    return ok(isOwn ? "applied" : "lost-race");
  }

  async #refuse(
    { current }: PublishRequest,
  ): Promise<Result<boolean, CliError>> {
    const revision = current?.head.revision ?? 0;
    const error = await createConflictError(this.#client, revision);
    return err(error);
  }

  /**
   * Deletes parts that only the replaced set used. A part that was written
   * after the own head may belong to a publication in progress and is kept.
   * What is left over by a failure here costs space only.
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
      await this.#client.txn(createCleanUp(keys, modRevision));
    }
  }

  #wait(): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(RESOLVE_WAIT_MS, resolve);
    });
  }
}
