import { describe, expect, it } from "@jest/globals";
import { checkObjects } from "./check_objects.ts";
import { formatConfigValidationError } from "./config_validation_error.ts";

const KEY_A = "a".repeat(64);

const VALID_OBJECTS: Record<string, unknown>[] = [
  { kind: "team", name: "joiners", apiKeySha256: [KEY_A] },
  { kind: "model", name: "writer", version: "1", adapters: ["lots"] },
  { kind: "model", name: "helper", version: "1" },
  { kind: "service", name: "desk" },
  { kind: "pool", name: "writers", model: "writer" },
  { kind: "pool", name: "helpers", model: "helper" },
  { kind: "pool", name: "desks", service: "desk" },
  { kind: "route", name: "lots", protocol: "chat", pool: "writers" },
  { kind: "route", name: "bids", protocol: "service", pool: "desks" },
];

/** Checks the valid set plus `more`, with each object in its own file. */
function checkWith(...more: Record<string, unknown>[]): string[] {
  const sources = [...VALID_OBJECTS, ...more].map((value, index) => ({
    file: `${index}.json`,
    path: [],
    value,
  }));
  return checkObjects(sources).match(
    () => [],
    (errors) => errors.map(formatConfigValidationError),
  );
}

const SERVICE_ROUTE = { kind: "route", protocol: "service", pool: "desks" };

const route = (fields: Record<string, unknown>) => ({
  kind: "route",
  protocol: "chat",
  pool: "helpers",
  ...fields,
});

describe("checkObjects", () => {
  it("accepts a valid set and applies defaults", () => {
    const sources = VALID_OBJECTS.map((value) => ({
      file: "f",
      path: [],
      value,
    }));
    const set = checkObjects(sources)._unsafeUnwrap();
    expect(set.routes.get("bids")).toMatchObject({ idempotent: false });
  });

  it.each([
    [{ kind: "tram", name: "x" }, "9.json: kind: set the kind to one of team"],
    [{ kind: "team", name: "Bad Name" }, "9.json: name: use 1 to 63 lower"],
    [{ kind: "team", name: "t", color: 1 }, "9.json: Unrecognized key"],
    [{ kind: "team", name: "joiners" }, "already defined in 0.json"],
    [{ kind: "pool", name: "p" }, "9.json: model: name the model or the"],
    [
      { kind: "pool", name: "p", model: "writer", service: "desk" },
      "9.json: service: a pool serves either",
    ],
    [
      { kind: "pool", name: "p", model: "gone" },
      "9.json: model: there is no model named gone",
    ],
    [route({ name: "r", pool: "gone" }), "9.json: pool: there is no pool"],
    [route({ name: "r", pool: "desks" }), "9.json: pool: a chat route needs"],
    [
      route({ name: "r", protocol: "service" }),
      "9.json: pool: a service route needs",
    ],
    [
      route({ name: "r", teams: ["joiners", "gone"] }),
      "9.json: teams[1]: there is no team named gone",
    ],
    [
      route({ name: "r", teams: ["joiners", "joiners"] }),
      "9.json: teams[1]: this entry is already in the list",
    ],
    [
      route({ name: "r", pool: "writers" }),
      "9.json: pool: the chat route lots already serves the model writer",
    ],
    [route({ name: "r", fallback: "gone" }), "fallback: there is no route"],
    [
      { ...SERVICE_ROUTE, name: "r", fallback: "r" },
      "cycle (r -> r)",
    ],
    [
      {
        ...SERVICE_ROUTE,
        name: "r",
        fallback: "bids",
        maxBodyBytes: 2_000_000,
      },
      "9.json: maxBodyBytes: the fallback bids accepts bodies of at most 1048576",
    ],
    [
      route({ name: "r", fallback: "bids" }),
      "a chat route cannot have a fallback",
    ],
    [
      route({ name: "r", retryBudgetRatio: 0 }),
      "9.json: retryBudgetRatio: 3 attempts need a retry budget above 0",
    ],
    [
      { kind: "team", name: "t", apiKeySha256: [KEY_A] },
      "9.json: apiKeySha256[0]: team joiners has the same key",
    ],
    [
      { kind: "model", name: "m", version: "1", adapters: ["a", "a"] },
      "9.json: adapters[1]: this entry is already in the list",
    ],
  ])("rejects %j with one error", (object, expected) => {
    const errors = checkWith(object);
    expect(errors).toHaveLength(1);
    expect(errors[0]).toContain(expected);
  });

  it("rejects a fallback to another service", () => {
    const errors = checkWith(
      { kind: "service", name: "other" },
      { kind: "pool", name: "others", service: "other" },
      { ...SERVICE_ROUTE, name: "far", pool: "others" },
      { ...SERVICE_ROUTE, name: "near", fallback: "far" },
    );
    expect(errors).toEqual([
      expect.stringContaining("12.json: fallback: the fallback far serves"),
    ]);
  });

  it("rejects a fallback that admits fewer teams", () => {
    const bids = { protocol: "service", pool: "desks" };
    const errors = checkWith(
      route({ name: "wide", fallback: "narrow", ...bids }),
      route({ name: "narrow", teams: ["joiners"], ...bids }),
    );
    expect(errors).toEqual([
      expect.stringContaining("9.json: teams: the fallback narrow does not"),
    ]);
  });

  it("returns all errors together and none for a reference to an invalid object", () => {
    const bids = { protocol: "service", pool: "desks" };
    const errors = checkWith(
      { kind: "pool", name: "broken", model: "writer", loadFactor: 0.5 },
      route({ name: "uses-broken", pool: "broken" }),
      route({ name: "one", fallback: "two", ...bids }),
      route({ name: "two", fallback: "one", ...bids }),
      route({ name: "three", fallback: "one", ...bids }),
    );
    expect(errors).toHaveLength(3);
    expect(errors[0]).toContain("9.json: loadFactor:");
    expect(errors[1]).toContain("cycle (one -> two -> one)");
    expect(errors[2]).toContain("cycle (two -> one -> two)");
  });

  it("reports the field inside a file of several objects", () => {
    const value = { kind: "team", name: "t", shareWeight: -1 };
    const errors = checkObjects([{ file: "teams.json", path: [2], value }])
      ._unsafeUnwrapErr();
    expect(errors[0]?.field).toBe("[2].shareWeight");
  });
});
