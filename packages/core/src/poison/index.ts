export * from "./poison_ledger.ts";
export * from "./poison_messages.ts";
export * from "./suspect_grants.ts";
