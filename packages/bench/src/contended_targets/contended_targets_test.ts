import { describe, expect, it } from "@jest/globals";
import { ContendedFleet } from "./fleet_model.ts";

// Guards against daemons that each fill a target as if they were alone.
describe.each([1, 2.5])(
  "138 daemons before targets of usual slowdown %s",
  (usualSlowdown) => {
    const run = (knowledge: "nothing" | "order") =>
      new ContendedFleet({ knowledge, usualSlowdown, seed: 1 }).run();

    it("serve more with the order, and meet no full target", () => {
      const blind = run("nothing");
      const ordered = run("order");
      expect(ordered.full).toBe(0);
      expect(ordered.served).toBeGreaterThan(1.05 * blind.served);
      expect(ordered.served - ordered.late)
        .toBeGreaterThan(blind.served - blind.late);
      expect(ordered.timedOut).toBeLessThan(0.1 * blind.timedOut);
    });
  },
);
