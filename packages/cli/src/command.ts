import type { Result } from "neverthrow";
import type { ParseArgsConfig } from "node:util";
import type { TimerService } from "@coltsfootford/core";
import type { KeyValueClient } from "@coltsfootford/key-value";
import type { CliError } from "./cli_error.ts";
import type { CliSettings } from "./settings.ts";

/** The options of a command in the format of `util.parseArgs`. */
export type CommandOptions = NonNullable<ParseArgsConfig["options"]>;

/** An option and its help text. */
export interface OptionHelp {
  readonly name: string;
  /** Placeholder of the value; absent for a boolean option. */
  readonly value?: string;
  readonly text: string;
}

/** An example for `--help`. */
export interface CommandExample {
  readonly line: string;
  readonly text: string;
}

/** The input and dependencies of a command. */
export interface CommandContext {
  readonly settings: CliSettings;
  /** Values of the command's own options. */
  readonly values: Readonly<Record<string, unknown>>;
  readonly positionals: readonly string[];
  readonly timer: TimerService;
  /** Creates a unique nonce for a publication. */
  readonly createNonce: () => string;
  /** Creates a client of the platform; `withPlatform` closes it. */
  readonly openPlatform: () => Result<KeyValueClient, CliError>;
}

/** The output of a command. */
export interface CommandOutput {
  /** Human-readable lines. */
  readonly lines: readonly string[];
  /** The same output for programs, printed with `--json`. */
  readonly json: unknown;
}

/** The result of a command. */
export type CommandResult = Promise<Result<CommandOutput, CliError>>;

/** A command of the tool. */
export abstract class Command {
  /** The words that select the command, for example `quarantine list`. */
  abstract readonly name: string;
  /** One line for the list of commands. */
  abstract readonly summary: string;
  /** The arguments after the name, for example `[DIRECTORY]`. */
  readonly argumentsHelp: string = "";
  /** Maximum number of arguments. */
  readonly maxArguments: number = 0;
  readonly options: readonly OptionHelp[] = [];
  readonly examples: readonly CommandExample[] = [];

  /** Executes the command. Expected failures are returned, not thrown. */
  abstract run(context: CommandContext): CommandResult;
}
