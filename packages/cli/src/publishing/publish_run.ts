import { err, ok, type Result } from "neverthrow";
import {
  diffObjects,
  formatObjectChange,
  type ObjectSet,
  type PublicationMetadata,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import { type CliError, createCliError } from "../cli_error.ts";
import type {
  CommandContext,
  CommandOutput,
  CommandResult,
} from "../command.ts";
import type { AdminClient } from "../daemons/index.ts";
import { formatCount } from "../format_count.ts";
import {
  type BaseFile,
  loadObjects,
  readBaseFile,
  writeBaseFile,
} from "../objects/index.ts";
import { checkBase, chooseRevision, resolvePending } from "./publish_checks.ts";
import { type PublishedSet, readPublishedSet } from "./published_set.ts";
import { type PublishedOutcome, Publisher } from "./publisher.ts";
import { type InForceReport, waitInForce } from "./wait_in_force.ts";

/** The options of `coltsfoot publish`. */
export interface PublishOptions {
  readonly directory: string;
  readonly baseRevision: number | undefined;
  readonly mustWait: boolean;
  readonly waitLimitMs: number;
  readonly isAfterRestore: boolean;
}

/** Command output that is not yet complete. */
interface PartialOutput {
  readonly lines: readonly string[];
  readonly json: object;
}

/** One execution of `coltsfoot publish`. */
export class PublishRun {
  readonly #context: CommandContext;
  readonly #options: PublishOptions;
  readonly #client: KeyValueClient;
  readonly #admin: AdminClient;

  constructor(
    context: CommandContext,
    options: PublishOptions,
    client: KeyValueClient,
    admin: AdminClient,
  ) {
    this.#context = context;
    this.#options = options;
    this.#client = client;
    this.#admin = admin;
  }

  async run(): CommandResult {
    const { directory } = this.#options;
    const set = loadObjects(directory);
    if (set.isErr()) return err(set.error);
    const baseFile = readBaseFile(directory);
    if (baseFile.isErr()) return err(baseFile.error);
    const published = await readPublishedSet(this.#client);
    if (published.isErr()) return err(published.error);
    const current = published.value;
    // Must precede the base check, which would report a restored platform as
    // another operator's publication.
    const revision = await this.#chooseRevision(current);
    if (revision.isErr()) return err(revision.error);
    const base = await this.#findBase(baseFile.value, current);
    if (base.isErr()) return err(base.error);
    if (current && this.#isUnchanged(current, set.value)) {
      return await this.#finishUnchanged(current);
    }
    const outcome = await this.#publish(
      {
        set: set.value,
        current,
        metadata: this.#createMetadata(revision.value),
      },
      base.value,
    );
    if (outcome.isErr()) return err(outcome.error);
    return await this.#finish(outcome.value);
  }

  /** After a restore, the same set must be published under a new revision. */
  #isUnchanged(current: PublishedSet, set: ObjectSet): boolean {
    if (this.#options.isAfterRestore) return false;
    return diffObjects(current.set, set).length === 0;
  }

  async #finishUnchanged({ head }: PublishedSet): CommandResult {
    const { revision, nonce } = head;
    const base = { revision, nonce };
    const written = writeBaseFile(this.#options.directory, { base });
    if (written.isErr()) return err(written.error);
    const line = `nothing to publish: the files equal revision ${revision}`;
    const { publishedBy, publishedAtMs } = head;
    const metadata = { revision, nonce, publishedBy, publishedAtMs };
    const json = { ...metadata, changes: [], wasReadBack: false };
    return await this.#waitIfRequested({ lines: [line], json }, metadata);
  }

  async #findBase(
    file: BaseFile,
    current: PublishedSet | undefined,
  ): Promise<Result<BaseFile, CliError>> {
    const resolved = await resolvePending(this.#client, file, current);
    if (resolved.isErr()) return err(resolved.error);
    const { baseRevision } = this.#options;
    const base = resolved.value;
    const conflict = await checkBase(this.#client, base, baseRevision, current);
    return conflict ? err(conflict) : ok(base);
  }

  async #chooseRevision(
    current: PublishedSet | undefined,
  ): Promise<Result<number, CliError>> {
    return await chooseRevision({
      client: this.#client,
      admin: this.#admin,
      daemons: this.#context.settings.daemons,
      currentRevision: current?.head.revision ?? 0,
      isAfterRestore: this.#options.isAfterRestore,
    });
  }

  #createMetadata(revision: number): PublicationMetadata {
    return {
      revision,
      nonce: this.#context.createNonce(),
      publishedBy: this.#context.settings.operator,
      publishedAtMs: this.#context.timer.wallClockMs(),
    };
  }

  async #publish(
    request: Parameters<Publisher["publish"]>[0],
    baseFile: BaseFile,
  ): Promise<Result<PublishedOutcome, CliError>> {
    const { directory } = this.#options;
    const { revision, nonce } = request.metadata;
    const id = { revision, nonce };
    const started = writeBaseFile(directory, { ...baseFile, pending: id });
    if (started.isErr()) return err(started.error);
    const { timer } = this.#context;
    const publisher = new Publisher({ client: this.#client, timer });
    const outcome = await publisher.publish(request);
    if (outcome.isOk()) {
      const written = writeBaseFile(directory, { base: id });
      return written.isErr() ? err(written.error) : outcome;
    }
    if (outcome.error.kind !== "outcome-unknown") {
      const { base } = baseFile;
      writeBaseFile(directory, base ? { base } : {});
    }
    return outcome;
  }

  #finish(outcome: PublishedOutcome): CommandResult {
    const { metadata, changes, wasReadBack } = outcome;
    const lines = describeOutcome(outcome);
    const json = { ...metadata, changes, wasReadBack };
    return this.#waitIfRequested({ lines, json }, metadata);
  }

  async #waitIfRequested(
    output: PartialOutput,
    metadata: PublicationMetadata,
  ): CommandResult {
    if (!this.#options.mustWait) return ok(output);
    const { daemons } = this.#context.settings;
    const report = await waitInForce(
      this.#admin,
      daemons,
      metadata,
      this.#context.timer,
      this.#options.waitLimitMs,
    );
    return describeWaitResult(output, report, daemons.length);
  }
}

function describeOutcome(outcome: PublishedOutcome): string[] {
  const { metadata, changes, wasReadBack } = outcome;
  const suffix = wasReadBack ? " (an answer was lost; read back)" : "";
  return [
    `published revision ${metadata.revision}${suffix}: ${
      formatCount(changes.length, "change")
    }`,
    ...changes.map(formatObjectChange),
  ];
}

function describeWaitResult(
  output: PartialOutput,
  report: InForceReport,
  daemonCount: number,
): Result<CommandOutput, CliError> {
  const elapsedMs = Math.round(report.elapsedMs);
  if (report.outdated.length === 0) {
    const line = `in force in ${daemonCount} daemons after ${elapsedMs} ms`;
    return ok({
      lines: [...output.lines, line],
      json: { ...output.json, inForceAfterMs: elapsedMs },
    });
  }
  const details = report.outdated.map(({ url, revision }) =>
    `${url}: ${revision === undefined ? "not reached" : `revision ${revision}`}`
  );
  const message =
    `published, but ${report.outdated.length} of ${daemonCount} ` +
    `daemons do not have the revision in force after ${elapsedMs} ms`;
  return err(
    createCliError("not-in-force", "publish.wait", message, { details }),
  );
}
