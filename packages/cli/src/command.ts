import type { Result } from "neverthrow";
import type { ParseArgsConfig } from "node:util";
import type { TimerService } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import type { CliError } from "./cli_error.ts";
import type { CliSettings } from "./settings.ts";

/** The options of a command, as `util.parseArgs` takes them. */
export type CommandOptions = NonNullable<ParseArgsConfig["options"]>;

/** One option with the text that explains it. */
export interface OptionHelp {
  readonly name: string;
  /** The placeholder of its value; absent for a switch. */
  readonly value?: string;
  readonly text: string;
}

/** An example for `--help`. */
export interface CommandExample {
  readonly line: string;
  readonly text: string;
}

/** What a command is given. */
export interface CommandContext {
  readonly settings: CliSettings;
  /** Values of the command's own options. */
  readonly values: Readonly<Record<string, unknown>>;
  readonly positionals: readonly string[];
  readonly timer: TimerService;
  /** A new random mark for a publication. */
  readonly createNonce: () => string;
  /** Opens the platform; the caller of the command closes it. */
  readonly openPlatform: () => Result<KeyValueClient, CliError>;
}

/** What a command prints. */
export interface CommandOutput {
  /** Lines for people. */
  readonly lines: readonly string[];
  /** The same for programs, printed with `--json`. */
  readonly json: unknown;
}

/** The outcome of a command. */
export type CommandResult = Promise<Result<CommandOutput, CliError>>;

/** One command of the tool. */
export abstract class Command {
  /** The words that call it, for example `quarantine list`. */
  abstract readonly name: string;
  /** One line for the list of commands. */
  abstract readonly summary: string;
  /** The arguments after the name, for example `[DIRECTORY]`. */
  readonly argumentsHelp: string = "";
  /** Longest number of arguments. */
  readonly maxArguments: number = 0;
  readonly options: readonly OptionHelp[] = [];
  readonly examples: readonly CommandExample[] = [];

  /** Runs the command. It never throws for a failure that can be foreseen. */
  abstract run(context: CommandContext): CommandResult;
}
