import type { ObjectSet } from "@coltsfootford/core";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { formatCount } from "../format_count.ts";
import { loadObjects } from "../objects/index.ts";

/** Validates the object files without the platform. */
export class CheckCommand extends Command {
  override readonly name = "check";
  override readonly summary = "check the object files as one set";
  override readonly argumentsHelp = "[DIRECTORY]";
  override readonly maxArguments = 1;
  override readonly examples = [
    { line: "coltsfoot check", text: "Check the directory of the settings." },
    {
      line: "coltsfoot check examples/batinah/objects --json",
      text: "Check another directory, for a program.",
    },
  ];

  override run(context: CommandContext): CommandResult {
    const directory = context.positionals[0] ?? context.settings.objects;
    const output = loadObjects(directory).map((set) => {
      const counts = countObjects(set);
      const parts = Object.entries(counts).map(([kind, count]) =>
        formatCount(count, kind)
      );
      return {
        lines: [`${directory} is in order: ${parts.join(", ")}`],
        json: { directory, counts },
      };
    });
    return Promise.resolve(output);
  }
}

function countObjects(set: ObjectSet): Record<string, number> {
  return {
    team: set.teams.size,
    model: set.models.size,
    service: set.services.size,
    pool: set.pools.size,
    route: set.routes.size,
  };
}
