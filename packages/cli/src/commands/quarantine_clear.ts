import { err, ok } from "neverthrow";
import { createCliError, createPlatformError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { QUARANTINE_PREFIX } from "../quarantine_keys.ts";
import { withPlatform } from "../connections.ts";

/** Removes a request from the quarantine. */
export class QuarantineClearCommand extends Command {
  override readonly name = "quarantine clear";
  override readonly summary = "let a quarantined request run again";
  override readonly argumentsHelp = "DIGEST";
  override readonly maxArguments = 1;
  override readonly examples = [
    {
      line: "coltsfoot quarantine clear 5f0c9a12",
      text: "Clear one request, by the digest that the list shows.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const [digest] = context.positionals;
    if (!digest) {
      const message =
        "name the digest; coltsfoot quarantine list shows the digests";
      return err(createCliError("invalid-usage", "quarantine.clear", message));
    }
    return await withPlatform(context, async (client) => {
      const key = QUARANTINE_PREFIX + digest;
      const entry = await client.get(key);
      if (entry.isErr()) return err(createPlatformError(entry.error));
      if (!entry.value) {
        const message = `no request ${digest} is quarantined`;
        return err(createCliError("not-found", "quarantine.clear", message));
      }
      const deleted = await client.delete(key);
      if (deleted.isErr()) return err(createPlatformError(deleted.error));
      const line = `${digest} may run again once the daemons have read this`;
      return ok({ lines: [line], json: { digest } });
    });
  }
}
