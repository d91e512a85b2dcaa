export * from "./fair_queue.ts";
export type { WaitingRequest } from "./team_queue.ts";
