import { type CancelTimer, TimerService } from "@coltsfootford/core";

/** A timer service on the clocks and timers of the process. */
export class SystemTimerService extends TimerService {
  override nowMs(): number {
    return performance.now();
  }

  override wallClockMs(): number {
    return Date.now();
  }

  override every(periodMs: number, action: () => void): CancelTimer {
    const handle = setInterval(action, periodMs);
    return () => clearInterval(handle);
  }

  override after(delayMs: number, action: () => void): CancelTimer {
    const handle = setTimeout(action, delayMs);
    return () => clearTimeout(handle);
  }
}
