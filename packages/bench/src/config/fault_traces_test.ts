import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { type FaultStep, FaultWorld, IN_FORCE_MS } from "./fault_world.ts";

/** Traces of a run in CI; a nightly run sets the variable to 1000. */
const TRACE_COUNT = Number(process.env["COLTSFOOT_TRACES"] ?? 200);
const SEED = 20_261_204;
const MAX_STEPS = 12;
const TEST_LIMIT_MS = 600_000;

const weight = fc.integer({ min: 2, max: 900 });
const zone = fc.constantFrom("zone-0" as const, "zone-1" as const);

const stepArbitrary: fc.Arbitrary<FaultStep> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("publish" as const),
      operator: fc.constantFrom(0 as const, 1 as const),
      shareWeight: weight,
      isFresh: fc.boolean(),
      fault: fc.constantFrom(
        "none" as const,
        "lost-answer" as const,
        "lost-request" as const,
        "slow" as const,
      ),
    }),
  },
  fc.record({ kind: fc.constant("race" as const), shareWeight: weight }),
  fc.record({ kind: fc.constant("supersede" as const), shareWeight: weight }),
  fc.record({
    kind: fc.constant("platform" as const),
    zone,
    isDown: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("operators" as const), isDown: fc.boolean() }),
  fc.record({ kind: fc.constant("cut" as const), zone }),
  fc.constantFrom<FaultStep>(
    { kind: "end-watches" },
    { kind: "compact" },
    { kind: "backup" },
    { kind: "restore" },
    { kind: "heal" },
  ),
  fc.record({
    kind: fc.constant("restart" as const),
    daemon: fc.integer({ min: 0, max: 3 }),
  }),
  fc.record({
    kind: fc.constant("pass" as const),
    durationMs: fc.constantFrom(100, 1_000, 5_000),
  }),
);

/** No daemon goes back, and none has a set that was refused in force. */
function checkDaemons(world: FaultWorld): void {
  const refused = new Set(
    world.told.filter((item) => item.outcome === "refused")
      .map((item) => item.nonce),
  );
  for (const node of [...world.fleet.nodes, ...world.endedNodes]) {
    const revisions = node.applied.map((mark) => mark.revision);
    expect(revisions).toEqual([...new Set(revisions)].sort((a, b) => a - b));
    expect(node.applied.filter((mark) => refused.has(mark.nonce))).toEqual([]);
  }
}

/** Of the publications under one number, at most one took effect. */
function checkWinners(world: FaultWorld): void {
  const published = world.told.filter((item) => item.outcome === "published")
    .map((item) => item.revision);
  expect(published).toEqual([...new Set(published)]);
}

/** Every daemon has the highest published set, or a later one, in force. */
function checkInForce(world: FaultWorld): void {
  const published = world.told.filter((item) => item.outcome === "published")
    .map((item) => item.revision);
  for (const node of world.fleet.nodes) {
    expect(node.revision()).toBeGreaterThanOrEqual(Math.max(0, ...published));
  }
}

async function replay(steps: readonly FaultStep[]): Promise<void> {
  const world = new FaultWorld();
  await world.start();
  for (const step of steps) {
    await world.run(step);
    checkDaemons(world);
  }
  if (!world.hasRestored && world.isConnected) {
    await world.fleet.advanceTime(IN_FORCE_MS);
    checkInForce(world);
  }
  await world.healAll();
  if (!world.hasRestored) {
    checkWinners(world);
    checkInForce(world);
  }
  const last = await world.publishLast();
  expect(last.outcome).toBe("published");
  expect(world.fleet.listOutdated(last.revision)).toEqual([]);
  checkDaemons(world);
}

/** Traces to which random ones shrank while a mechanism was taken out. */
const NAMED_TRACES: readonly (readonly [string, readonly FaultStep[]])[] = [
  ["two operators race", [{ kind: "race", shareWeight: 2 }]],
  ["an answer is lost and another publishes above", [
    { kind: "supersede", shareWeight: 2 },
  ]],
  ["an answer is lost", [{
    kind: "publish",
    operator: 0,
    shareWeight: 2,
    isFresh: false,
    fault: "lost-answer",
  }]],
  ["a zone without the platform follows through the other", [
    { kind: "platform", zone: "zone-0", isDown: true },
    {
      kind: "publish",
      operator: 0,
      shareWeight: 2,
      isFresh: false,
      fault: "none",
    },
  ]],
];

describe("configuration under random faults", () => {
  it.each(NAMED_TRACES)("holds where %s", async (_name, steps) => {
    await replay(steps);
  });

  it("never doubles, never goes back and is in force in time", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { maxLength: MAX_STEPS }),
        replay,
      ),
      { seed: SEED, numRuns: TRACE_COUNT },
    );
  }, TEST_LIMIT_MS);
});
