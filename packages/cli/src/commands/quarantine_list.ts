import { err, ok } from "neverthrow";
import { parseJson } from "@coltsfootford/core";
import { createPlatformError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { QUARANTINE_PREFIX } from "../quarantine_keys.ts";
import { withPlatform } from "../connections.ts";

/** Lists requests that are refused because they crashed targets. */
export class QuarantineListCommand extends Command {
  override readonly name = "quarantine list";
  override readonly summary = "list requests refused for crashing targets";
  override readonly examples = [
    { line: "coltsfoot quarantine list", text: "All quarantined requests." },
  ];

  override async run(context: CommandContext): CommandResult {
    return await withPlatform(context, async (client) => {
      const answer = await client.range({ prefix: QUARANTINE_PREFIX });
      if (answer.isErr()) return err(createPlatformError(answer.error));
      const requests = answer.value.entries.map((entry) => ({
        digest: entry.key.slice(QUARANTINE_PREFIX.length),
        entry: parseJson(entry.value) ?? entry.value,
      }));
      const lines = requests.length > 0
        ? requests.map(({ digest, entry }) =>
          `${digest}  ${JSON.stringify(entry)}`
        )
        : ["no request is quarantined"];
      return ok({ lines, json: { requests } });
    });
  }
}
