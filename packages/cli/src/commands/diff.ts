import { err, ok } from "neverthrow";
import { diffObjects, formatObjectChange } from "@coltsfootford/core";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { formatCount } from "../format_count.ts";
import { loadObjects } from "../objects/index.ts";
import { readPublishedSet } from "../publishing/index.ts";
import { withPlatform } from "../connections.ts";

/** Shows what a publication would change. */
export class DiffCommand extends Command {
  override readonly name = "diff";
  override readonly summary = "show what publish would change";
  override readonly argumentsHelp = "[DIRECTORY]";
  override readonly maxArguments = 1;
  override readonly examples = [
    {
      line: "coltsfoot diff",
      text: "Compare the files with what is published.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const directory = context.positionals[0] ?? context.settings.objects;
    const set = loadObjects(directory);
    if (set.isErr()) return err(set.error);
    return await withPlatform(context, async (client) => {
      const published = await readPublishedSet(client);
      if (published.isErr()) return err(published.error);
      const changes = diffObjects(published.value?.set, set.value);
      const revision = published.value?.head.revision ?? 0;
      const title = changes.length === 0
        ? `no difference to revision ${revision}`
        : `${
          formatCount(changes.length, "difference")
        } to revision ${revision}:`;
      const lines = [title, ...changes.map(formatObjectChange)];
      return ok({ lines, json: { revision, changes } });
    });
  }
}
