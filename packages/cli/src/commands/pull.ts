import { err, ok, type Result } from "neverthrow";
import { existsSync, mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  type FleetObject,
  listObjects,
  type ObjectKind,
  schemaByKind,
} from "@coltsfootford/core";
import { type CliError, createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { withPlatform } from "../connections.ts";
import { writeBaseFile } from "../objects/index.ts";
import { type PublishedSet, readPublishedSet } from "../publishing/index.ts";

/** Writes the published set into a new directory. */
export class PullCommand extends Command {
  override readonly name = "pull";
  override readonly summary = "write what is published into a new directory";
  override readonly argumentsHelp = "DIRECTORY";
  override readonly maxArguments = 1;
  override readonly examples = [
    {
      line: "coltsfoot pull published",
      text: "One file for each kind, to compare with your own files.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const [directory] = context.positionals;
    if (!directory || existsSync(directory)) {
      const message = directory
        ? `${directory} already exists; name a new directory`
        : "name the new directory to write to";
      return err(createCliError("invalid-usage", "pull", message));
    }
    return await withPlatform(context, async (client) => {
      const published = await readPublishedSet(client);
      if (published.isErr()) return err(published.error);
      if (!published.value) {
        const message = "nothing is published yet; see coltsfoot publish";
        return err(createCliError("not-found", "pull", message));
      }
      const { revision } = published.value.head;
      return writeSet(directory, published.value).map((files) => ({
        lines: [
          ...files.map((file) => `created ${file}`),
          `these files equal revision ${revision}`,
        ],
        json: { revision, created: files },
      }));
    });
  }
}

function writeSet(
  directory: string,
  { head, set }: PublishedSet,
): Result<string[], CliError> {
  const files: string[] = [];
  try {
    mkdirSync(directory, { recursive: true });
    for (const [kind, objects] of groupByKind(listObjects(set))) {
      const file = join(directory, `${kind}s.json`);
      writeFileSync(file, `${JSON.stringify(objects, null, 2)}\n`);
      files.push(file);
    }
  } catch (cause) {
    const message = `${directory} can't be written; name another directory`;
    return err(createCliError("invalid-usage", "pull", message, { cause }));
  }
  const { revision, nonce } = head;
  return writeBaseFile(directory, { base: { revision, nonce } })
    .andThen(() => ok(files));
}

function groupByKind(
  objects: readonly FleetObject[],
): Map<ObjectKind, FleetObject[]> {
  const groups = new Map<ObjectKind, FleetObject[]>();
  for (const kind of Object.keys(schemaByKind) as ObjectKind[]) {
    const members = objects.filter((object) => object.kind === kind);
    if (members.length > 0) groups.set(kind, members);
  }
  return groups;
}
