export * from "./crash_detector.ts";
export * from "./poison_controller.ts";
export * from "./poison_peers.ts";
export * from "./quarantine_store.ts";
export * from "./request_digest.ts";
export * from "./suspect_isolation.ts";
