import { EXIT_CODES } from "./cli_error.ts";
import type { Command, OptionHelp } from "./command.ts";

/** The options of every command. */
export const COMMON_OPTIONS: readonly OptionHelp[] = [
  {
    name: "settings",
    value: "FILE",
    text: "settings file, coltsfoot.json unless given",
  },
  {
    name: "platform",
    value: "URLS",
    text: "addresses of the key-value service, with commas between",
  },
  {
    name: "daemons",
    value: "URLS",
    text: "addresses of the daemons' admin ports, with commas between",
  },
  { name: "json", text: "print JSON for programs" },
  { name: "help", text: "print this help" },
];

/** Returns the help of the tool. */
export function describeTool(commands: readonly Command[]): string[] {
  const width = Math.max(...commands.map(({ name }) => name.length));
  const codes = Object.entries(EXIT_CODES).map(([kind, code]) =>
    `${code} ${kind}`
  );
  return [
    "coltsfoot: the operators' tool of coltsfootford",
    "",
    "Usage: coltsfoot COMMAND [OPTIONS]",
    "",
    "Commands:",
    ...commands.map(({ name, summary }) =>
      `  ${name.padEnd(width)}  ${summary}`
    ),
    "",
    "Options of every command:",
    ...describeOptions(COMMON_OPTIONS),
    "",
    `Exit codes: 0 success, ${codes.join(", ")}`,
    "",
    "Run coltsfoot COMMAND --help for examples.",
  ];
}

/** Returns the help of one command. */
export function describeCommand(command: Command): string[] {
  const words = ["coltsfoot", command.name, command.argumentsHelp, "[OPTIONS]"];
  return [
    `${command.name}: ${command.summary}`,
    "",
    `Usage: ${words.filter((word) => word !== "").join(" ")}`,
    "",
    "Options:",
    ...describeOptions([...command.options, ...COMMON_OPTIONS]),
    "",
    "Examples:",
    ...command.examples.flatMap((
      { line, text },
    ) => [`  ${line}`, `    ${text}`]),
  ];
}

function describeOptions(options: readonly OptionHelp[]): string[] {
  const names = options.map(({ name, value }) =>
    value ? `--${name} ${value}` : `--${name}`
  );
  const width = Math.max(...names.map((name) => name.length));
  return options.map(({ text }, index) =>
    `  ${(names[index] ?? "").padEnd(width)}  ${text}`
  );
}
