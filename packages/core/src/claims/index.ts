export * from "./claim_state_machine.ts";
export * from "./claim_events.ts";
export * from "./claim_key.ts";
export type { ClaimBatchSettings } from "./claim_queue.ts";
export * from "./claim_record.ts";
