import type { Command } from "../command.ts";
import { CheckCommand } from "./check.ts";
import { DiffCommand } from "./diff.ts";
import { DrainCommand } from "./drain.ts";
import { DumpCommand } from "./dump.ts";
import { HistoryCommand } from "./history.ts";
import { InitCommand } from "./init.ts";
import { PublishCommand } from "./publish.ts";
import { PullCommand } from "./pull.ts";
import { QuarantineClearCommand } from "./quarantine_clear.ts";
import { QuarantineListCommand } from "./quarantine_list.ts";
import { SchemaCommand } from "./schema.ts";
import { StatusCommand } from "./status.ts";

/** All commands in the order in which the help lists them. */
export const COMMANDS: readonly Command[] = [
  new InitCommand(),
  new CheckCommand(),
  new DiffCommand(),
  new PublishCommand(),
  new PullCommand(),
  new HistoryCommand(),
  new StatusCommand(),
  new DumpCommand(),
  new DrainCommand(),
  new QuarantineListCommand(),
  new QuarantineClearCommand(),
  new SchemaCommand(),
];
