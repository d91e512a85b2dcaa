import { describe, expect, it } from "@jest/globals";
import { isLoadReporter } from "./load_reporters.ts";

const TARGETS = Array.from({ length: 115 }, (_, index) => `target-${index}`);
const daemonsOf = (count: number) =>
  Array.from({ length: count }, (_, index) => `daemon-${index}`);

function countReporters(target: string, daemons: readonly string[]): number {
  return daemons.filter((self) =>
    isLoadReporter(target, self, daemons.filter((peer) => peer !== self))
  ).length;
}

// Load: all daemons see at the same moment that a target is contended. Guards
// against an announcement of each of them, which doubled the processor time of
// 138 daemons.
describe("the daemons that announce the load of a target", () => {
  it.each([85, 138, 300])("are few of %i", (count) => {
    const daemons = daemonsOf(count);
    for (const target of TARGETS) {
      expect(countReporters(target, daemons)).toBe(6);
    }
  });

  it("are all of a small fleet", () => {
    expect(countReporters("target-0", daemonsOf(6))).toBe(6);
  });

  // Guards against a target that nobody reports once its reporters are lost.
  it("are replaced when they are lost", () => {
    const daemons = daemonsOf(138);
    const remaining = daemons.filter((self) =>
      !isLoadReporter("target-0", self, daemons.filter((one) => one !== self))
    );
    expect(countReporters("target-0", remaining)).toBe(6);
  });
});
