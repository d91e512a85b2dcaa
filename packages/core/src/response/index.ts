/** What proves that a response is complete. */
export * from "./body_delimiter.ts";
