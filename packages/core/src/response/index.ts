/** What proves that a response is complete, and belongs to its request. */
export * from "./body_delimiter.ts";
export * from "./own_response.ts";
export * from "./event_sequence.ts";
