import { beforeEach, describe, expect, it } from "@jest/globals";
import type { StoreRevision } from "@coltsfootford/core";
import type { KeyValueEntry } from "./key_value_types.ts";
import { PrefixMirror } from "./prefix_mirror.ts";

function entry(key: string, modRevision: number): KeyValueEntry {
  return {
    key,
    value: `${key} at ${modRevision}`,
    createRevision: 1,
    modRevision,
    version: 1,
    leaseId: "0",
  };
}

let mirror: PrefixMirror;

const applySnapshot = (revision: StoreRevision, ...keys: string[]) =>
  mirror.apply({
    kind: "snapshot",
    revision,
    entries: keys.map((key) => entry(key, revision.revision)),
  });
const applyPut = (revision: StoreRevision, key: string) =>
  mirror.apply({
    kind: "events",
    revision,
    events: [{ kind: "put", entry: entry(key, revision.revision) }],
  });
const keys = () => mirror.entries().map(({ key }) => key);

beforeEach(() => {
  mirror = new PrefixMirror();
  applySnapshot({ era: 1, revision: 100 }, "a", "b");
});

describe("a copy of a restored store", () => {
  // Guards against a daemon that refuses all that it reads after the return.
  it("takes a snapshot of a later era at a lower revision", () => {
    expect(applySnapshot({ era: 2, revision: 60 }, "a")).toBe(true);
    expect(keys()).toEqual(["a"]);
    expect(applyPut({ era: 2, revision: 61 }, "c")).toBe(true);
    expect(keys()).toEqual(["a", "c"]);
  });

  // Guards against a late response, or a peer, of the era before.
  it("refuses what is of an earlier era at a higher revision", () => {
    applySnapshot({ era: 2, revision: 60 }, "a");
    expect(applySnapshot({ era: 1, revision: 500 }, "z")).toBe(false);
    expect(applyPut({ era: 1, revision: 500 }, "z")).toBe(false);
    expect(keys()).toEqual(["a"]);
  });

  // Guards against changes of a new history on top of entries of the old one.
  it("takes no changes of a later era before its snapshot", () => {
    expect(applyPut({ era: 2, revision: 130 }, "z")).toBe(false);
    expect(keys()).toEqual(["a", "b"]);
    expect(mirror.revision).toEqual({ era: 1, revision: 100 });
  });
});
