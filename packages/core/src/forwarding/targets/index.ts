export * from "./contended_targets.ts";
export * from "./load_reporters.ts";
export * from "./overload_announcements.ts";
export * from "./target_record.ts";
export * from "./target_registry.ts";
