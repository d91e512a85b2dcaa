import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { BoundedRingPolicy, LeastOfTwoPolicy } from "./baseline_policies.ts";
import { ModuloPolicy, RoundRobinPolicy } from "./baseline_policies.ts";
import { FlapDamper } from "./flap_damper.ts";
import type { PlacementRequest } from "./placement_policy.ts";
import { PoolView } from "./pool_view.ts";
import { RendezvousPolicy } from "./rendezvous_policy.ts";

const CHATS = 2_000;

function createView(count: number, zones = 4, load: number[] = []): PoolView {
  return new PoolView(
    Array.from({ length: count }, (_, index) => ({
      name: `target-${index}`,
      availabilityZone: `zone-${index % zones}`,
      loadRequests: load[index] ?? 0,
      onProbation: false,
    })),
  );
}

function createRequest(overrides: Partial<PlacementRequest>): PlacementRequest {
  return {
    chatKey: "chat-1",
    availabilityZone: "zone-0",
    reuseWeight: 1,
    crossZonePenalty: 0.5,
    maxTargets: 4,
    ...overrides,
  };
}

describe("RendezvousPolicy", () => {
  const policy = new RendezvousPolicy();

  it("gives every zone the same order at a reuse weight of 1", () => {
    const view = createView(13);
    for (let chat = 0; chat < 100; chat++) {
      const orders = ["zone-0", "zone-1", "zone-3"].map((availabilityZone) =>
        policy.orderTargets(
          createRequest({ chatKey: `chat-${chat}`, availabilityZone }),
          view,
        )
      );
      expect(orders[1]).toEqual(orders[0]);
      expect(orders[2]).toEqual(orders[0]);
    }
  });

  it("moves only a leaving target's chats, to their second target", () => {
    const before = createView(13);
    const after = new PoolView(before.targets.slice(1));
    const leaving = before.targets[0]!.name;
    for (let chat = 0; chat < CHATS; chat++) {
      const request = createRequest({ chatKey: `chat-${chat}` });
      const previous = policy.orderTargets(request, before);
      const [preferred] = policy.orderTargets(request, after);
      expect(preferred).toBe(
        previous[0] === leaving ? previous[1] : previous[0],
      );
    }
  });

  it("distributes chats evenly over 1,775 targets", () => {
    const view = createView(1_775);
    const counts = new Map<string, number>();
    const chats = 1_775;
    for (let chat = 0; chat < chats; chat++) {
      const request = createRequest({ chatKey: `c${chat}`, maxTargets: 1 });
      const [preferred] = policy.orderTargets(request, view);
      counts.set(preferred!, (counts.get(preferred!) ?? 0) + 1);
    }
    const mean = chats / 1_775;
    const variance = view.targets.reduce(
      (sum, target) => sum + ((counts.get(target.name) ?? 0) - mean) ** 2,
      0,
    ) / 1_775;
    expect(variance / mean).toBeGreaterThan(0.8);
    expect(variance / mean).toBeLessThan(1.2);
  });

  it("stays in its zone at full penalty and a reuse weight of 0", () => {
    const view = createView(12);
    for (let chat = 0; chat < 100; chat++) {
      const request = createRequest({
        chatKey: `chat-${chat}`,
        reuseWeight: 0,
        crossZonePenalty: 1,
      });
      const order = policy.orderTargets(request, view).slice(0, 3);
      for (const name of order) {
        expect(Number(name.split("-")[1]) % 4).toBe(0);
      }
    }
  });

  it("keeps the order of the other targets while a zone is unreachable", () => {
    const complete = createView(12);
    const reduced = new PoolView(
      complete.targets.filter((target) => target.availabilityZone !== "zone-2"),
    );
    for (let chat = 0; chat < 200; chat++) {
      const request = createRequest({ chatKey: `chat-${chat}` });
      const order = policy.orderTargets(request, complete);
      const remaining = order.filter((name) =>
        Number(name.split("-")[1]) % 4 !== 2
      );
      const during = policy.orderTargets(request, reduced);
      expect(during.slice(0, remaining.length)).toEqual(remaining);
    }
  });

  it("swaps the two best when the first is far more loaded", () => {
    const request = createRequest({ reuseWeight: 0.2 });
    const [first, second] = policy.orderTargets(request, createView(13));
    const load = Array.from({ length: 13 }, () => 4);
    load[Number(first!.split("-")[1])] = 20;
    const swapped = policy.orderTargets(request, createView(13, 4, load));
    expect(swapped.slice(0, 2)).toEqual([second, first]);
  });
});

describe("baseline policies", () => {
  it("return distinct targets, at most as many as requested", () => {
    const generator = xoroshiro128plus(7);
    const policies = [
      new RoundRobinPolicy(),
      new LeastOfTwoPolicy((count) => uniformInt(generator, 0, count - 1)),
      new ModuloPolicy(),
      new BoundedRingPolicy(),
      new RendezvousPolicy(),
    ];
    for (const policy of policies) {
      const order = policy.orderTargets(createRequest({}), createView(13));
      expect(new Set(order).size).toBe(4);
      const few = policy.orderTargets(createRequest({}), createView(2));
      expect(new Set(few).size).toBe(2);
      expect(policy.orderTargets(createRequest({}), createView(0))).toEqual([]);
    }
  });
});

describe("FlapDamper", () => {
  it("places a target last only after it left twice within the window", () => {
    const damper = new FlapDamper();
    damper.recordDeparture("a", 1_000);
    damper.recordReturn("a", 5_000);
    expect(damper.isOnProbation("a", 5_001)).toBe(false);
    damper.recordDeparture("a", 20_000);
    damper.recordReturn("a", 25_000);
    expect(damper.isOnProbation("a", 25_001)).toBe(true);
    expect(damper.isOnProbation("a", 55_001)).toBe(false);
  });
});
