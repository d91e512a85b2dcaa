import { type CancelTimer, TimerService } from "@coltsfootford/core";

/**
 * A timer service on the clocks and timers of the process. Actions run after the
 * input that has arrived by the time they are due: the event loop runs timers
 * first, and a process that was stopped would end requests whose responses have
 * arrived meanwhile.
 */
export class SystemTimerService extends TimerService {
  override nowMs(): number {
    return performance.now();
  }

  override wallClockMs(): number {
    return Date.now();
  }

  override every(periodMs: number, action: () => void): CancelTimer {
    return subscribe((onDue) => setInterval(onDue, periodMs), action);
  }

  override after(delayMs: number, action: () => void): CancelTimer {
    return subscribe((onDue) => setTimeout(onDue, delayMs), action);
  }
}

/** Calls `action` in the check phase after each time that the timer is due. */
function subscribe(
  start: (onDue: () => void) => NodeJS.Timeout,
  action: () => void,
): CancelTimer {
  let immediate: NodeJS.Immediate | undefined;
  const timeout = start(() => {
    immediate = setImmediate(action);
  });
  return () => {
    clearTimeout(timeout);
    clearImmediate(immediate);
  };
}
