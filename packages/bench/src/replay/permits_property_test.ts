import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { type Deployment, generateLoad, TRUST } from "../load/index.ts";
import { PRODUCTION_CONTENDER } from "./contenders.ts";
import { daemonName, type Fault, targetName } from "./faults.ts";
import { replay } from "./replay.ts";

/**
 * Under random faults of owners, holders and links, no target accepts more
 * requests than its fixed limit. The load factor is so high that the bound by
 * the pool mean never limits admissions: the test covers the permit ledger and
 * the takeovers of ownership.
 */
const DURATION_MS = 14_000;
const CRAMPED: Deployment = {
  ...TRUST,
  name: "cramped",
  daemons: 4,
  targets: 4,
  zones: ["zone-1", "zone-2"],
  loadFactor: 10,
  maxConcurrentPerTarget: 6,
  calmRequestsPerSecond: 40,
};

const atMs = fc.integer({ min: 2_000, max: 11_000 });
const daemon = fc.integer({ min: 0, max: CRAMPED.daemons - 1 })
  .map(daemonName);
const target = fc.integer({ min: 0, max: CRAMPED.targets - 1 })
  .map(targetName);

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ kind: fc.constant("daemon-kill" as const), atMs, daemon }),
  fc.record({ kind: fc.constant("daemon-vanish" as const), atMs, daemon }),
  fc.record({
    kind: fc.constant("daemon-pause" as const),
    atMs,
    daemon,
    durationMs: fc.integer({ min: 100, max: 6_000 }),
  }),
  fc.record({
    kind: fc.constant("target-blip" as const),
    atMs,
    target,
    downMs: fc.integer({ min: 100, max: 3_000 }),
  }),
  fc.record({
    kind: fc.constant("target-restart" as const),
    atMs,
    target,
    downMs: fc.integer({ min: 500, max: 3_000 }),
  }),
  fc.record({
    kind: fc.constant("daemon-join" as const),
    atMs,
    daemon: fc.constantFrom("d8", "d9"),
    availabilityZone: fc.constantFrom(...CRAMPED.zones),
  }),
  fc.record({
    kind: fc.constant("zone-cut" as const),
    atMs,
    availabilityZone: fc.constant(CRAMPED.zones[0]!),
    durationMs: fc.integer({ min: 4_000, max: 6_000 }),
  }),
);

function countOverLimit(faults: readonly Fault[], seed: number): number {
  const trace = generateLoad(CRAMPED, {
    seed,
    calmMs: DURATION_MS,
    weekendMs: 0,
    surgeMs: 0,
    afterMs: 0,
  });
  const sorted = [...faults].sort((a, b) => a.atMs - b.atMs);
  const result = replay({
    deployment: CRAMPED,
    trace,
    faults: sorted,
    contender: PRODUCTION_CONTENDER,
    seed,
    lossProbability: 0.005,
  });
  return result.overLimit;
}

describe("permits of target owners", () => {
  it("holder-unknown-to-a-rival: an owner collects from every peer it received a message from", () => {
    const faults: Fault[] = [
      {
        kind: "daemon-join",
        atMs: 2_000,
        daemon: "d8",
        availabilityZone: "zone-2",
      },
      { kind: "daemon-pause", atMs: 2_000, daemon: "d0", durationMs: 100 },
    ];
    expect(countOverLimit(faults, 219_657)).toBe(0);
  });

  it("never exceed the limit under random faults", () => {
    fc.assert(
      fc.property(
        fc.array(fault, { minLength: 1, maxLength: 6 }),
        fc.integer({ min: 1, max: 1_000_000 }),
        (faults, seed) => {
          expect(countOverLimit(faults, seed)).toBe(0);
        },
      ),
      { seed: 20_261_204, numRuns: 40, endOnFailure: true },
    );
  });
});
