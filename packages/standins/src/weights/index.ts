export * from "./weight_store.ts";
