export * from "./fair_queue.ts";
export type { QueuedRequest } from "./team_queue.ts";
