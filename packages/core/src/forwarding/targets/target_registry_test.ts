import { beforeEach, describe, expect, it } from "@jest/globals";
import {
  LAPSED_GRACE_MS,
  type TargetRegistration,
  TargetRegistry,
} from "./target_registry.ts";

let registry: TargetRegistry;

beforeEach(() => {
  registry = new TargetRegistry();
});

function registration(
  fields: Partial<TargetRegistration> = {},
): TargetRegistration {
  return {
    id: "t1",
    bornAtMs: 100,
    sequence: 5,
    service: "models",
    host: "127.0.0.1",
    port: 80,
    availabilityZone: "a",
    slots: 8,
    isLeaving: false,
    coldLeftMs: 0,
    ...fields,
  };
}

function update(
  nowMs: number,
  registrations: TargetRegistration[],
  isAfterOutage = false,
) {
  registry.update(registrations, nowMs, isAfterOutage);
  return registry.eligible(nowMs).map(({ incarnation }) => incarnation);
}

describe("TargetRegistry", () => {
  it("lists targets that are registered", () => {
    expect(update(0, [registration()])).toEqual(["t1@100"]);
  });

  it("excludes a leaving target, even if an old registration arrives", () => {
    update(0, [registration()]);
    expect(update(1, [registration({ isLeaving: true, sequence: 6 })]))
      .toEqual([]);
    expect(update(2, [registration({ sequence: 5 })])).toEqual([]);
    expect(update(3, [registration({ sequence: 9 })])).toEqual([]);
  });

  it("excludes a removed target until it registers again", () => {
    update(0, [registration()]);
    expect(update(1, [])).toEqual([]);
    expect(update(2, [registration({ sequence: 5 })])).toEqual([]);
    expect(update(3, [registration({ sequence: 6 })])).toEqual(["t1@100"]);
  });

  it("accepts a later incarnation of an id and rejects an earlier one", () => {
    update(0, [registration({ isLeaving: true })]);
    expect(update(1, [registration({ bornAtMs: 200, sequence: 1 })]))
      .toEqual(["t1@200"]);
    expect(update(2, [registration({ bornAtMs: 100, sequence: 99 })]))
      .toEqual(["t1@200"]);
  });

  it("keeps a lapsed target for the grace after a store outage", () => {
    update(0, [registration()]);
    expect(update(1_000, [], true)).toEqual(["t1@100"]);
    expect(registry.nextLapseAtMs(1_000)).toBe(1_000 + LAPSED_GRACE_MS);
    expect(registry.eligible(1_000 + LAPSED_GRACE_MS)).toEqual([]);
    expect(update(1_500, [registration({ sequence: 6 })])).toEqual(["t1@100"]);
  });
});

describe("a target that leaves, by its own or another daemon's word", () => {
  const known = {
    id: "a",
    bornAtMs: 5,
    sequence: 3,
    service: "s",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "z",
    slots: 1,
    isLeaving: false,
    coldLeftMs: 0,
  };

  // Guards against targets that left, and that a store which came back older
  // calls ready.
  it("stays so for its incarnation, whatever the store says", () => {
    const registry = new TargetRegistry();
    registry.update([known], 0, false);
    expect(registry.recordLeaving(known, 0)).toBe(true);
    expect(registry.recordLeaving(known, 0)).toBe(false);
    registry.update([{ ...known, sequence: 9 }], 1, false);
    expect(registry.eligible(1)).toEqual([]);
    expect(registry.leaving().map(({ id }) => id)).toEqual(["a"]);
    registry.update([{ ...known, bornAtMs: 6, sequence: 1 }], 2, false);
    expect(registry.eligible(2)).toHaveLength(1);
    expect(registry.recordLeaving(known, 3)).toBe(false);
    expect(registry.eligible(3)).toHaveLength(1);
  });
});
