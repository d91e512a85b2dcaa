/** Decision logic for forwarding HTTP requests to the targets of a service. */
export * from "./crash_evidence/index.ts";
export * from "./limits/index.ts";
export * from "./placement/index.ts";
export * from "./prompts/index.ts";
export * from "./relays/index.ts";
export * from "./responses/index.ts";
export * from "./retries/index.ts";
export * from "./routes/index.ts";
export * from "./targets/index.ts";
