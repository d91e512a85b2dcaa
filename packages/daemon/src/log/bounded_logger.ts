import Bunyan from "bunyan";
import sonicBoom from "sonic-boom";
import type { TimerService } from "@coltsfootford/core";
import { type EventName, EVENTS } from "./events.ts";
import type { EventFields, Logger } from "./logger.ts";

// The package is a CommonJS module without named exports.
const { SonicBoom } = sonicBoom;

const STANDARD_OUTPUT_FD = 1;
/** Lines are buffered up to this size or until the next flush. */
const MIN_WRITE_BYTES = 4_096;
const FLUSH_PERIOD_MS = 500;
/** Maximum size of the buffer in memory; beyond it, whole writes are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Maximum lines of one `info` event per period. */
const MAX_INFO_LINES_PER_PERIOD = 400;
/** Maximum lines of one event of another level per period; they are failures. */
const MAX_FAILURE_LINES_PER_PERIOD = 2_000;
const PERIOD_MS = 1_000;

/**
 * A logger with a bounded volume whose writes never block on the reader of the
 * standard output. It reports the number of dropped lines as `linesDropped`.
 */
export class BoundedLogger implements Logger {
  readonly #bunyan: Bunyan;
  readonly #output: InstanceType<typeof SonicBoom>;
  readonly #linesInPeriod = new Map<EventName, number>();
  readonly #dropped = new Map<string, number>();

  constructor(vm: string, timer: TimerService) {
    this.#output = new SonicBoom({
      fd: STANDARD_OUTPUT_FD,
      sync: false,
      minLength: MIN_WRITE_BYTES,
      maxLength: MAX_BUFFERED_BYTES,
    });
    this.#output.on("drop", () => this.#countDropped("unwritten"));
    this.#bunyan = Bunyan.createLogger({
      name: "coltsfootd",
      vm,
      streams: [{
        type: "stream",
        level: "debug",
        stream: this.#output as unknown as NodeJS.WritableStream,
      }],
    });
    timer.every(FLUSH_PERIOD_MS, () => this.#output.flush());
    timer.every(PERIOD_MS, () => this.#startPeriod());
  }

  event(name: EventName, fields: EventFields = {}): void {
    const { number, level, text } = EVENTS[name];
    const lines = (this.#linesInPeriod.get(name) ?? 0) + 1;
    this.#linesInPeriod.set(name, lines);
    const maxLines = level === "info"
      ? MAX_INFO_LINES_PER_PERIOD
      : MAX_FAILURE_LINES_PER_PERIOD;
    if (lines > maxLines) return this.#countDropped(name);
    this.#bunyan[level]({ event: number, eventName: name, ...fields }, text);
  }

  /** Flushes the buffered lines; call it before the process exits. */
  close(): void {
    this.#output.flushSync();
  }

  #countDropped(name: string): void {
    this.#dropped.set(name, (this.#dropped.get(name) ?? 0) + 1);
  }

  #startPeriod(): void {
    this.#linesInPeriod.clear();
    if (this.#dropped.size === 0) return;
    const dropped = Object.fromEntries(this.#dropped);
    this.#dropped.clear();
    this.event("linesDropped", { dropped });
  }
}
