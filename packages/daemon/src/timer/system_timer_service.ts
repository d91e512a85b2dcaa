import { type CancelTimer, TimerService } from "@coltsfootford/core";

/** Time from the operating system: the monotonic and the calendar clock. */
export class SystemTimerService extends TimerService {
  override nowMs(): number {
    return performance.now();
  }

  override wallClockMs(): number {
    return Date.now();
  }

  override every(periodMs: number, action: () => void): CancelTimer {
    const timer = setInterval(action, periodMs);
    return () => clearInterval(timer);
  }

  override after(delayMs: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  }
}
