import { expect, it } from "@jest/globals";
import type { TimerService } from "@coltsfootford/core";
import { LimitedLogger } from "./limited_logger.ts";

// Guards against a crowd of clients that makes the log grow without bound.
it("drops events above its limit, and reports how many", () => {
  const events: unknown[] = [];
  let endPeriod = () => {};
  const timer: Pick<TimerService, "after"> = {
    after: (_, action) => {
      endPeriod = action;
      return () => {};
    },
  };
  const logger = new LimitedLogger(
    { event: (...event) => events.push(event) },
    timer as TimerService,
    2,
  );
  for (let index = 0; index < 5; index++) logger.event("heldBytesEvicted", {});
  endPeriod();
  logger.event("heldBytesEvicted", {});
  expect(events).toEqual([
    ["heldBytesEvicted", {}],
    ["heldBytesEvicted", {}],
    ["linesDropped", { dropped: { heldBytesEvicted: 3 } }],
    ["heldBytesEvicted", {}],
  ]);
});
