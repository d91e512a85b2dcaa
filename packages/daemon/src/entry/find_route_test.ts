import { describe, expect, it } from "@jest/globals";
import { createObjectSet, objectSchema } from "@coltsfootford/core";
import type { TargetView } from "../blackboard/index.ts";
import { choosePool, findServiceRoute } from "./find_route.ts";

const OBJECTS = createObjectSet([
  { kind: "service", name: "desk" },
  { kind: "pool", name: "near", service: "desk" },
  { kind: "pool", name: "far", service: "desk" },
  {
    kind: "route",
    name: "bids",
    protocol: "service",
    pool: "near",
    fallback: "spare",
  },
  { kind: "route", name: "spare", protocol: "service", pool: "far" },
].map((value) => objectSchema.parse(value)));

const target = (pool: string, state: TargetView["state"]): TargetView => ({
  name: `${pool}-1`,
  availabilityZone: "z",
  pool,
  host: "127.0.0.1",
  port: 1,
  state,
});

function choose(...targets: TargetView[]): string {
  const pair = findServiceRoute(OBJECTS, "bids")._unsafeUnwrap();
  return choosePool(OBJECTS, pair, targets).name;
}

describe("choosePool", () => {
  it("uses the route's own pool while it has a live target", () => {
    expect(choose(target("near", "live"), target("far", "live"))).toBe("near");
  });

  it("uses the fallback's pool while the route's own pool has no live target", () => {
    expect(choose(target("near", "leaving"), target("far", "live")))
      .toBe("far");
  });

  it("uses the route's own pool if no pool has a live target", () => {
    expect(choose(target("near", "dead"), target("far", "suspect")))
      .toBe("near");
  });
});
