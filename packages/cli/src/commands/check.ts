import { ok } from "neverthrow";
import { formatStepError, type ObjectSet } from "@coltsfootford/core";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { formatCount } from "../format_count.ts";
import { loadObjects } from "../objects/index.ts";
import { DiffCommand } from "./diff.ts";

/** Validates the object files; needs the platform only to compare them. */
export class CheckCommand extends Command {
  override readonly name = "check";
  override readonly summary = "check the object files as one set";
  override readonly argumentsHelp = "[DIRECTORY]";
  override readonly maxArguments = 1;
  override readonly options = [
    { name: "compare", text: "also show what publish would change" },
  ];
  override readonly examples = [
    { line: "coltsfoot check", text: "Check the directory of the settings." },
    {
      line: "coltsfoot check --compare",
      text: "Compare them with what is published, if the platform responds.",
    },
    {
      line: "coltsfoot check examples/batinah/objects --json",
      text: "Check another directory, for a program.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
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
    if (output.isErr() || context.values["compare"] !== true) return output;
    const { lines, json } = output.value;
    // The exit code states whether the files are in order, with or without a
    // platform to compare with.
    const comparison = await new DiffCommand().run(context);
    return ok(comparison.match(
      (difference) => ({
        lines: [...lines, ...difference.lines],
        json: { ...json, comparison: difference.json },
      }),
      (error) => ({
        lines: [...lines, `not compared: ${formatStepError(error)}`],
        json: { ...json, comparisonError: formatStepError(error) },
      }),
    ));
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
