import { err, ok } from "neverthrow";
import { createCliError } from "../cli_error.ts";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { requireDaemons, withDaemons } from "../connections.ts";

/** Drains a target: it receives no new requests. */
export class DrainCommand extends Command {
  override readonly name = "drain";
  override readonly summary = "send no new work to a target";
  override readonly argumentsHelp = "TARGET";
  override readonly maxArguments = 1;
  override readonly examples = [
    {
      line: "coltsfoot drain writer-3",
      text: "Let writer-3 finish what it runs, and give it nothing new.",
    },
  ];

  override async run(context: CommandContext): CommandResult {
    const [target] = context.positionals;
    if (!target) {
      const message =
        "name the target to drain; coltsfoot status lists the targets";
      return err(createCliError("invalid-usage", "drain", message));
    }
    const daemons = requireDaemons(context);
    if (daemons.isErr()) return err(daemons.error);
    return await withDaemons(context, async (admin) => {
      const details: string[] = [];
      for (const url of daemons.value) {
        const result = await admin.drain(url, target);
        if (result.isOk()) {
          const lines = [`${target} gets no new work (told to ${url})`];
          return ok({ lines, json: { target, daemon: url } });
        }
        if (result.error.kind === "not-found") return err(result.error);
        details.push(`${url}: ${result.error.message}`);
      }
      const message = `no daemon accepted the request to drain ${target}`;
      const options = { details };
      return err(
        createCliError("daemon-unreachable", "drain", message, options),
      );
    });
  }
}
