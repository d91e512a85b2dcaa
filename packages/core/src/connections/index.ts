/** Which client connections a daemon keeps open. */
export * from "./connection_limit.ts";
export * from "./connection_line.ts";
export * from "./input_slice.ts";
