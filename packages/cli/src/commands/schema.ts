import { err, ok } from "neverthrow";
import { z } from "zod";
import {
  type ObjectKind,
  objectSchema,
  schemaByKind,
} from "@coltsfootford/core";
import { createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";

/** Prints the JSON Schema of the objects, for example for editors. */
export class SchemaCommand extends Command {
  override readonly name = "schema";
  override readonly summary = "print the JSON Schema of the objects";
  override readonly argumentsHelp = "[KIND]";
  override readonly maxArguments = 1;
  override readonly examples = [
    {
      line: "coltsfoot schema > objects.schema.json",
      text: "The schema of any object.",
    },
    { line: "coltsfoot schema route", text: "The schema of routes alone." },
  ];

  override run(context: CommandContext): CommandResult {
    const [kind] = context.positionals;
    if (kind !== undefined && !isKind(kind)) {
      const kinds = Object.keys(schemaByKind).join(", ");
      const message = `there is no kind ${kind}; use one of ${kinds}`;
      return Promise.resolve(
        err(createCliError("invalid-usage", "schema", message)),
      );
    }
    const schema = kind === undefined ? objectSchema : schemaByKind[kind];
    const json = z.toJSONSchema(schema, { io: "input" });
    return Promise.resolve(
      ok({ lines: [JSON.stringify(json, null, 2)], json }),
    );
  }
}

function isKind(text: string): text is ObjectKind {
  return Object.hasOwn(schemaByKind, text);
}
