/**
 * The state of the daemons, and what each reports of itself and of targets. The
 * result is a local view: it guides decisions, but never grants permission.
 */
export * from "./candidates.ts";
export * from "./membership.ts";
export * from "./membership_reader.ts";
export * from "./options.ts";
export * from "./pause_guard.ts";
export * from "./wire.ts";
