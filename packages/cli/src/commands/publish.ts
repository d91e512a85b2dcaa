import { err, ok, type Result } from "neverthrow";
import {
  formatObjectChange,
  type ObjectChange,
  type PublicationFacts,
} from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/platform";
import { type CliError, createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandOutput,
  type CommandResult,
} from "../command.ts";
import type { AdminClient } from "../daemons/index.ts";
import {
  type BaseFile,
  loadObjects,
  readBaseFile,
  writeBaseFile,
} from "../objects/index.ts";
import {
  checkBase,
  checkFleetRevision,
  type InForceReport,
  type PublishedOutcome,
  type PublishedSet,
  Publisher,
  readPublishedSet,
  recognisePending,
  waitInForce,
} from "../publishing/index.ts";
import { withDaemons, withPlatform } from "../connections.ts";

const DEFAULT_WAIT_LIMIT_MS = 30_000;

/** Publishes the object files as one set. */
export class PublishCommand extends Command {
  override readonly name = "publish";
  override readonly summary = "check the object files and publish them";
  override readonly argumentsHelp = "[DIRECTORY]";
  override readonly maxArguments = 1;
  override readonly options = [
    {
      name: "wait",
      text: "wait until every daemon of the settings has it in force",
    },
    {
      name: "wait-limit-ms",
      value: "MS",
      text: `longest wait, ${DEFAULT_WAIT_LIMIT_MS} unless given`,
    },
    {
      name: "base",
      value: "REVISION",
      text: "the published revision that the files are based on; 0 for none",
    },
    {
      name: "after-restore",
      text:
        "publish above the daemons' revision after the platform was restored",
    },
  ];
  override readonly examples = [
    {
      line: "coltsfoot publish --wait",
      text: "Publish and wait until it is in force everywhere.",
    },
    {
      line: "coltsfoot publish --base 41",
      text: "Publish after taking in what others published up to revision 41.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const options = readOptions(context);
    if (options.isErr()) return err(options.error);
    return await withPlatform(
      context,
      (client) =>
        withDaemons(
          context,
          (admin) =>
            new PublishRun(context, options.value, client, admin).run(),
        ),
    );
  }
}

interface PublishOptions {
  readonly directory: string;
  readonly baseRevision: number | undefined;
  readonly mustWait: boolean;
  readonly waitLimitMs: number;
  readonly isAfterRestore: boolean;
}

function readOptions(
  { values, positionals, settings }: CommandContext,
): Result<PublishOptions, CliError> {
  const baseRevision = readNumber(values["base"]);
  const waitLimitMs = readNumber(values["wait-limit-ms"]);
  for (const [name, value] of Object.entries({ baseRevision, waitLimitMs })) {
    if (value === undefined || Number.isInteger(value) && value >= 0) continue;
    const message = `${name} must be a whole number of 0 or more`;
    return err(createCliError("invalid-usage", "publish.options", message));
  }
  return ok({
    directory: positionals[0] ?? settings.objects,
    baseRevision,
    mustWait: values["wait"] === true,
    waitLimitMs: waitLimitMs ?? DEFAULT_WAIT_LIMIT_MS,
    isAfterRestore: values["after-restore"] === true,
  });
}

function readNumber(value: unknown): number | undefined {
  return value === undefined ? undefined : Number(value);
}

/** One run of the command. */
class PublishRun {
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
    const base = await this.#findBase(baseFile.value, current);
    if (base.isErr()) return err(base.error);
    const revision = await this.#chooseRevision(current);
    if (revision.isErr()) return err(revision.error);
    const outcome = await this.#publish(
      { set: set.value, current, facts: this.#createFacts(revision.value) },
      base.value,
    );
    if (outcome.isErr()) return err(outcome.error);
    return await this.#finish(outcome.value);
  }

  async #findBase(
    file: BaseFile,
    current: PublishedSet | undefined,
  ): Promise<Result<BaseFile, CliError>> {
    const recognised = await recognisePending(this.#client, file, current);
    if (recognised.isErr()) return err(recognised.error);
    const { baseRevision } = this.#options;
    const base = recognised.value;
    const refusal = await checkBase(this.#client, base, baseRevision, current);
    return refusal ? err(refusal) : ok(base);
  }

  async #chooseRevision(
    current: PublishedSet | undefined,
  ): Promise<Result<number, CliError>> {
    return await checkFleetRevision(
      this.#admin,
      this.#context.settings.daemons,
      current?.head.revision ?? 0,
      this.#options.isAfterRestore,
    );
  }

  #createFacts(revision: number): PublicationFacts {
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
    const { revision, nonce } = request.facts;
    const mark = { revision, nonce };
    const begun = writeBaseFile(directory, { ...baseFile, pending: mark });
    if (begun.isErr()) return err(begun.error);
    const { timer } = this.#context;
    const publisher = new Publisher({ client: this.#client, timer });
    const outcome = await publisher.publish(request);
    if (outcome.isOk()) {
      const done = writeBaseFile(directory, { base: mark });
      return done.isErr() ? err(done.error) : outcome;
    }
    if (outcome.error.kind !== "outcome-unknown") {
      const { base } = baseFile;
      writeBaseFile(directory, base ? { base } : {});
    }
    return outcome;
  }

  async #finish(outcome: PublishedOutcome): CommandResult {
    const { facts, changes, wasReadBack } = outcome;
    const lines = describeOutcome(outcome);
    const json = { ...facts, changes, wasReadBack };
    if (!this.#options.mustWait) return ok({ lines, json });
    const { daemons } = this.#context.settings;
    const report = await waitInForce(
      this.#admin,
      daemons,
      facts,
      this.#context.timer,
      this.#options.waitLimitMs,
    );
    return describeWait({ lines, json }, report, daemons.length);
  }
}

function describeOutcome(outcome: PublishedOutcome): string[] {
  const { facts, changes, wasReadBack } = outcome;
  const how = wasReadBack ? " (an answer was lost; read back)" : "";
  return [
    `published revision ${facts.revision}${how}: ${describeCount(changes)}`,
    ...changes.map(formatObjectChange),
  ];
}

function describeCount(changes: readonly ObjectChange[]): string {
  if (changes.length === 0) return "no object changed";
  return changes.length === 1 ? "1 change" : `${changes.length} changes`;
}

function describeWait(
  output: { readonly lines: readonly string[]; readonly json: object },
  report: InForceReport,
  daemonCount: number,
): Result<CommandOutput, CliError> {
  const elapsedMs = Math.round(report.elapsedMs);
  if (report.behind.length === 0) {
    const line = `in force in ${daemonCount} daemons after ${elapsedMs} ms`;
    return ok({
      lines: [...output.lines, line],
      json: { ...output.json, inForceAfterMs: elapsedMs },
    });
  }
  const details = report.behind.map(({ url, revision }) =>
    `${url}: ${revision === undefined ? "not reached" : `revision ${revision}`}`
  );
  const message = `published, but ${report.behind.length} of ${daemonCount} ` +
    `daemons do not have it in force after ${elapsedMs} ms`;
  return err(
    createCliError("not-in-force", "publish.wait", message, { details }),
  );
}
