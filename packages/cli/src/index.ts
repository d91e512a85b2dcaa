/** The operators' command line, as a library for tests and harnesses. */
export * from "./cli_error.ts";
export * from "./daemons/index.ts";
export * from "./objects/index.ts";
export * from "./publishing/index.ts";
export * from "./run_cli.ts";
