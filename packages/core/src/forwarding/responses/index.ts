export * from "./event_frames.ts";
export * from "./response_limits.ts";
export * from "./response_wait.ts";
