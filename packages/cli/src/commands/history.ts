import { err, ok } from "neverthrow";
import {
  Command,
  type CommandContext,
  type CommandResult,
} from "../command.ts";
import { formatRecord, readRecordsAfter } from "../publishing/index.ts";
import { withPlatform } from "../connections.ts";

const DEFAULT_COUNT = 10;

/** Lists the last publications. */
export class HistoryCommand extends Command {
  override readonly name = "history";
  override readonly summary = "list who published what, the latest last";
  override readonly options = [
    {
      name: "count",
      value: "N",
      text: `how many, ${DEFAULT_COUNT} unless given`,
    },
  ];
  override readonly examples = [
    { line: "coltsfoot history --count 3", text: "The last 3 publications." },
  ];

  override async run(context: CommandContext): CommandResult {
    const count = Number(context.values["count"] ?? DEFAULT_COUNT);
    return await withPlatform(context, async (client) => {
      const records = await readRecordsAfter(client, 0);
      if (records.isErr()) return err(records.error);
      const latest = records.value.slice(-count);
      const lines = latest.length > 0
        ? latest.flatMap(formatRecord)
        : ["nothing was published yet"];
      return ok({ lines, json: { publications: latest } });
    });
  }
}
