import { err, ok } from "neverthrow";
import { createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { requireDaemons, withDaemons } from "../connections.ts";

/** Prints the state of daemons as JSON. */
export class DumpCommand extends Command {
  override readonly name = "dump";
  override readonly summary = "print the state of each daemon as JSON";
  override readonly examples = [
    {
      line: "coltsfoot dump --daemons http://10.0.0.5:7003",
      text: "The state of one daemon.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const daemons = requireDaemons(context);
    if (daemons.isErr()) return err(daemons.error);
    return await withDaemons(context, async (admin) => {
      const json: Record<string, unknown> = {};
      const failed: string[] = [];
      for (const url of daemons.value) {
        const dump = await admin.getDump(url);
        json[url] = dump.unwrapOr(null);
        if (dump.isErr()) failed.push(url);
      }
      if (failed.length === daemons.value.length) {
        const message = "no daemon can be reached; check the addresses";
        const options = { details: failed };
        return err(
          createCliError("daemon-unreachable", "dump", message, options),
        );
      }
      return ok({ lines: [JSON.stringify(json, null, 2)], json });
    });
  }
}
