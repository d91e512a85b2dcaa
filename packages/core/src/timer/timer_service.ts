/** Ends a subscription of a `TimerService`. Calling it twice does no harm. */
export type CancelTimer = () => void;

/**
 * The one source of time. Parts subscribe to it and never read a clock of
 * their own, so that a replay can drive them in virtual time.
 */
export abstract class TimerService {
  /** Monotonic time since an arbitrary start, in ms. */
  abstract nowMs(): number;

  /** Calendar time in ms since 1970, only for records that people read. */
  abstract wallClockMs(): number;

  /** Calls `action` every `periodMs`, first after one period. */
  abstract every(periodMs: number, action: () => void): CancelTimer;

  /** Calls `action` once after `delayMs`. */
  abstract after(delayMs: number, action: () => void): CancelTimer;
}
