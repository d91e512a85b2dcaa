import { err, ok, type Result } from "neverthrow";
import { type CliError, createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { withDaemons, withPlatform } from "../connections.ts";
import { type PublishOptions, PublishRun } from "../publishing/publish_run.ts";

const DEFAULT_WAIT_LIMIT_MS = 30_000;

/** Validates the object files and publishes them as one set. */
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

function readOptions(
  { values, positionals, settings }: CommandContext,
): Result<PublishOptions, CliError> {
  const baseRevision = readNumber(values["base"]);
  const waitLimitMs = readNumber(values["wait-limit-ms"]);
  for (const [name, value] of Object.entries({ baseRevision, waitLimitMs })) {
    if (value === undefined || Number.isInteger(value) && value >= 0) continue;
    const message = `${name} must be a whole number of at least 0`;
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
