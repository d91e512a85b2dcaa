export * from "./contenders.ts";
export * from "./event_heap.ts";
export * from "./faults.ts";
export * from "./permit_admission.ts";
export * from "./replay.ts";
export * from "./replay_metrics.ts";
export * from "./scenarios.ts";
