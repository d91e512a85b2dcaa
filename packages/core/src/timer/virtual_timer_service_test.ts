import { describe, expect, it } from "@jest/globals";
import { VirtualTimerService } from "./virtual_timer_service.ts";

describe("VirtualTimerService", () => {
  it("fires periodic and one-shot timers in order of due time", () => {
    const timer = new VirtualTimerService();
    const fired: string[] = [];
    timer.every(10, () => fired.push(`every ${timer.nowMs()}`));
    timer.after(15, () => fired.push(`after ${timer.nowMs()}`));
    timer.advance(25);
    expect(fired).toEqual(["every 10", "after 15", "every 20"]);
    expect(timer.nowMs()).toBe(25);
  });

  it("stops a cancelled timer, also when its own action cancels it", () => {
    const timer = new VirtualTimerService();
    let count = 0;
    const cancel = timer.every(10, () => {
      count += 1;
      if (count === 2) cancel();
    });
    timer.advance(100);
    expect(count).toBe(2);
  });
});
