import Bunyan from "bunyan";
import { type EventName, EVENTS } from "./events.ts";

/** The fields of a log event; they must not contain secrets. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes numbered events as JSON lines. */
export interface Logger {
  event(name: EventName, fields?: EventFields): void;
}

/** Creates the logger of a daemon, which writes to standard output. */
export function createLogger(
  vm: string,
  level: "debug" | "info" | "warn" | "error",
): Logger {
  const bunyan = Bunyan.createLogger({ name: "coltsfootd", vm, level });
  return {
    event(name, fields = {}) {
      const { number, level, text } = EVENTS[name];
      bunyan[level]({ event: number, eventName: name, ...fields }, text);
    },
  };
}
