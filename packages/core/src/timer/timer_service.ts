/** Ends a subscription of a `TimerService`. Further calls have no effect. */
export type CancelTimer = () => void;

/**
 * The only source of time. Components subscribe to it and never read a clock
 * themselves, so that a replay can drive them in virtual time.
 */
export abstract class TimerService {
  /** Monotonic time since an arbitrary start, in ms. */
  abstract nowMs(): number;

  /** Wall-clock time in ms since 1970, only for records that people read. */
  abstract wallClockMs(): number;

  /** Calls `action` every `periodMs`, first after one period. */
  abstract every(periodMs: number, action: () => void): CancelTimer;

  /** Calls `action` once after `delayMs`. */
  abstract after(delayMs: number, action: () => void): CancelTimer;
}
