/**
 * Which daemons are alive, and what each says of itself and of targets. The
 * result is a view: it decides what is good to do, never what is allowed.
 */
export * from "./candidates.ts";
export * from "./membership.ts";
export * from "./membership_reader.ts";
export * from "./options.ts";
export * from "./pause_guard.ts";
export * from "./wire.ts";
