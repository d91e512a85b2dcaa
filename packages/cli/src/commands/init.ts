import { err, ok } from "neverthrow";
import { existsSync, mkdirSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { DEFAULT_SETTINGS_FILE } from "../settings.ts";

/** The files of a new configuration and their JSON contents. */
const FILES: Readonly<Record<string, unknown>> = {
  [DEFAULT_SETTINGS_FILE]: {
    platform: ["http://127.0.0.1:2379"],
    daemons: ["http://127.0.0.1:7003"],
    objects: "objects",
  },
  "objects/teams.json": [{ kind: "team", name: "first-team" }],
  "objects/models.json": [{ kind: "model", name: "writer", version: "1" }],
  "objects/services.json": [{ kind: "service", name: "booking" }],
  "objects/pools.json": [
    { kind: "pool", name: "writer-pool", model: "writer" },
    { kind: "pool", name: "booking-pool", service: "booking" },
  ],
  "objects/routes.json": [
    {
      kind: "route",
      name: "write",
      protocol: "chat",
      pool: "writer-pool",
      idempotent: true,
    },
    {
      kind: "route",
      name: "book",
      protocol: "service",
      pool: "booking-pool",
      maxAttempts: 1,
    },
  ],
};

/** Creates the files of a new configuration. */
export class InitCommand extends Command {
  override readonly name = "init";
  override readonly summary = "create a settings file and example objects";
  override readonly argumentsHelp = "[DIRECTORY]";
  override readonly maxArguments = 1;
  override readonly examples = [
    {
      line: "coltsfoot init fleet",
      text: "Create them in the directory fleet.",
    },
  ];

  override run(context: CommandContext): CommandResult {
    const directory = context.positionals[0] ?? ".";
    const files = Object.keys(FILES).map((name) => join(directory, name));
    const existing = files.filter((file) => existsSync(file));
    if (existing.length > 0) {
      const message = "these files already exist; name another directory";
      const options = { details: existing };
      const error = createCliError("invalid-usage", "init", message, options);
      return Promise.resolve(err(error));
    }
    try {
      for (const [name, contents] of Object.entries(FILES)) {
        writeNewFile(join(directory, name), contents);
      }
    } catch (cause) {
      const message = `${directory} can't be written; name another directory`;
      const error = createCliError("invalid-usage", "init", message, { cause });
      return Promise.resolve(err(error));
    }
    const lines = [
      ...files.map((file) => `created ${file}`),
      "Set the addresses in the settings file, then run coltsfoot check.",
    ];
    return Promise.resolve(ok({ lines, json: { created: files } }));
  }
}

function writeNewFile(file: string, contents: unknown): void {
  mkdirSync(dirname(file), { recursive: true });
  const text = `${JSON.stringify(contents, null, 2)}\n`;
  writeFileSync(file, text, { flag: "wx" });
}
