import { err, ok, type Result } from "neverthrow";
import { parseArgs } from "node:util";
import { formatStepError, type TimerService } from "@coltsfootford/core";
import {
  EtcdGatewayClient,
  type KeyValueClient,
} from "@coltsfootford/key-value";
import { type CliError, createCliError, EXIT_CODES } from "./cli_error.ts";
import type {
  Command,
  CommandContext,
  CommandOptions,
  CommandOutput,
  OptionHelp,
} from "./command.ts";
import { COMMANDS } from "./commands/index.ts";
import { COMMON_OPTIONS, describeCommand, describeTool } from "./help.ts";
import { type CliSettings, loadCliSettings } from "./settings.ts";

/** Dependencies of `runCli` that its process provides. */
export interface CliDependencies {
  readonly timer: TimerService;
  readonly random: () => number;
  readonly createNonce: () => string;
  readonly printLine: (line: string) => void;
  readonly printErrorLine: (line: string) => void;
}

interface CommandLine {
  readonly command: Command;
  readonly values: Readonly<Record<string, unknown>>;
  readonly positionals: readonly string[];
}

/** Executes a command line and returns the exit code. */
export async function runCli(
  args: readonly string[],
  dependencies: CliDependencies,
): Promise<number> {
  const isJson = args.includes("--json");
  const command = findCommand(args);
  if (!command) return handleMissingCommand(args, isJson, dependencies);
  const line = parseCommandLine(command, args);
  if (line.isErr()) return printError(line.error, isJson, dependencies);
  if (line.value.values["help"] === true) {
    describeCommand(command).forEach(dependencies.printLine);
    return 0;
  }
  const context = createContext(line.value, dependencies);
  if (context.isErr()) return printError(context.error, isJson, dependencies);
  const output = await command.run(context.value);
  return output.match(
    (value) => printOutput(value, isJson, dependencies),
    (error) => printError(error, isJson, dependencies),
  );
}

function handleMissingCommand(
  args: readonly string[],
  isJson: boolean,
  dependencies: CliDependencies,
): number {
  const [first] = args;
  if (first === undefined || first === "--help" || first === "help") {
    describeTool(COMMANDS).forEach(dependencies.printLine);
    return first === undefined ? EXIT_CODES["invalid-usage"] : 0;
  }
  const message = `there is no command ${first}; coltsfoot --help lists them`;
  const error = createCliError("invalid-usage", "command-line", message);
  return printError(error, isJson, dependencies);
}

/** Finds the command by its name: one or two words before all options. */
function findCommand(args: readonly string[]): Command | undefined {
  return COMMANDS.find(({ name }) =>
    name === args.slice(0, name.split(" ").length).join(" ")
  );
}

function parseCommandLine(
  command: Command,
  args: readonly string[],
): Result<CommandLine, CliError> {
  const commandArgs = args.slice(command.name.split(" ").length);
  const options = toParseOptions([...command.options, ...COMMON_OPTIONS]);
  try {
    const { values, positionals } = parseArgs({
      args: [...commandArgs],
      options,
      allowPositionals: true,
    });
    if (positionals.length <= command.maxArguments) {
      return ok({ command, values, positionals });
    }
    const extra = positionals.slice(command.maxArguments).join(" ");
    return err(createUsageError(command, `unexpected argument ${extra}`));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return err(createUsageError(command, reason));
  }
}

function createUsageError(command: Command, reason: string): CliError {
  const message = `${reason}; see coltsfoot ${command.name} --help`;
  return createCliError("invalid-usage", "command-line", message);
}

function toParseOptions(options: readonly OptionHelp[]): CommandOptions {
  return Object.fromEntries(options.map(({ name, value }) => [
    name,
    { type: value === undefined ? "boolean" : "string" },
  ]));
}

function createContext(
  { values, positionals }: CommandLine,
  dependencies: CliDependencies,
): Result<CommandContext, CliError> {
  return loadCliSettings(values).map((settings) => ({
    settings,
    values,
    positionals,
    timer: dependencies.timer,
    createNonce: dependencies.createNonce,
    openPlatform: () => openPlatform(settings, dependencies),
  }));
}

function openPlatform(
  settings: CliSettings,
  { timer, random }: CliDependencies,
): Result<KeyValueClient, CliError> {
  const endpoints = settings.platform;
  if (endpoints.length > 0) {
    return ok(new EtcdGatewayClient({ endpoints, timer, random }));
  }
  const message =
    "no platform is configured; set --platform or use a settings file";
  return err(createCliError("invalid-usage", "platform.open", message));
}

function printOutput(
  output: CommandOutput,
  isJson: boolean,
  dependencies: CliDependencies,
): number {
  if (isJson) dependencies.printLine(JSON.stringify(output.json));
  else output.lines.forEach(dependencies.printLine);
  return 0;
}

function printError(
  error: CliError,
  isJson: boolean,
  dependencies: CliDependencies,
): number {
  const { kind, step, message, details } = error;
  if (isJson) {
    const cause = error.cause.unwrapOr("");
    const json = { error: { kind, step, message, cause, details } };
    dependencies.printLine(JSON.stringify(json));
    return EXIT_CODES[kind];
  }
  dependencies.printErrorLine(`coltsfoot: ${formatStepError(error)}`);
  error.cause.match({
    Just: (cause) => dependencies.printErrorLine(`  cause: ${cause}`),
    Nothing: () => undefined,
  });
  details.forEach((line) => dependencies.printErrorLine(`  ${line}`));
  return EXIT_CODES[kind];
}
