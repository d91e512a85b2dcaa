import { describe, expect, it } from "@jest/globals";
import { EventSequence } from "./event_sequence.ts";

const REPEATED = "stream repeats an event";
const GAP = "stream leaves out events";

/** Records events by their ids; undefined stands for one without an id. */
function record(
  events: EventSequence,
  ...ids: readonly (number | string | undefined)[]
): string | undefined {
  for (const id of ids) {
    const fault = events.record({
      bytes: new Uint8Array(),
      id: id?.toString(),
      hasData: true,
    });
    if (fault) return fault;
  }
  return undefined;
}

describe("the events of one run", () => {
  it.each([
    ["one by one", [1, 2, 3]],
    ["one by one from 0", [0, 1, 2]],
    ["in strides", [7, 14, 21, 23]],
    ["without ids", [undefined, undefined]],
    ["with names for ids", ["a", "b"]],
  ])("may be numbered %s", (_, ids) => {
    expect(record(new EventSequence(undefined), ...ids)).toBeUndefined();
  });

  it.each([
    ["repeats one", [1, 2, 2], REPEATED],
    ["goes back", [7, 14, 7], REPEATED],
    ["leaves out one", [1, 2, 4], GAP],
  ])("are faulty where it %s", (_, ids, fault) => {
    expect(record(new EventSequence(undefined), ...ids)).toBe(fault);
  });

  it("may hold comments without data", () => {
    const events = new EventSequence(undefined);
    record(events, 1, 2);
    events.startRun();
    const comment = { bytes: new Uint8Array(), id: undefined, hasData: false };
    expect(events.record(comment)).toBeUndefined();
    expect(events.isResumable).toBe(true);
  });
});

// Guards against pieces of two runs that are joined where they do not fit.
describe("a run at another target", () => {
  it.each([
    ["goes on", [1, 2], [3, 4], undefined],
    ["goes on in strides", [7, 14], [21], undefined],
    ["starts from the beginning", [1, 2], [1], REPEATED],
    ["repeats the last event", [1, 2], [2], REPEATED],
    ["leaves out an event", [1, 2], [4], GAP],
    ["leaves out the second event", [1], [3], GAP],
  ])("that %s", (_, first, second, fault) => {
    const events = new EventSequence(undefined);
    record(events, ...first);
    events.startRun();
    expect(record(events, ...second)).toBe(fault);
  });

  it("needs numbers", () => {
    const events = new EventSequence(undefined);
    record(events, 1, 2);
    events.startRun();
    expect(record(events, undefined)).toMatch(/no number/);
  });

  it("is impossible after an event without a number", () => {
    const events = new EventSequence(undefined);
    record(events, 1, undefined);
    expect(events.isResumable).toBe(false);
  });
});

describe("a run for a client that resumes", () => {
  it("goes on after the client's last event", () => {
    expect(record(new EventSequence("12"), 13, 14)).toBeUndefined();
    expect(record(new EventSequence("12"), 19, 26)).toBeUndefined();
    expect(record(new EventSequence("12"), 1)).toBe(REPEATED);
  });

  it("is not checked where ids are names", () => {
    expect(record(new EventSequence("a"), "b", undefined)).toBeUndefined();
  });
});
