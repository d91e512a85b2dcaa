import { type CancelTimer, TimerService } from "@coltsfootford/core";

/** The timer service of a running process. */
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
