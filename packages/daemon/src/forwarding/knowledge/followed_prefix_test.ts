import { beforeEach, describe, expect, it } from "@jest/globals";
import type { KeyValueEntry } from "@coltsfootford/key-value";
import { FollowedPrefix } from "./followed_prefix.ts";

const at = (revision: number, era = 1) => ({ era, revision });

function entry(key: string, modRevision: number): KeyValueEntry {
  return {
    key,
    value: `${key}@${modRevision}`,
    createRevision: 1,
    modRevision,
    version: 1,
    leaseId: "0",
  };
}

let relay: FollowedPrefix;
let daemon: FollowedPrefix;

const valuesOf = (followed: FollowedPrefix) =>
  followed.snapshot().entries.map(({ value }) => value).toSorted();
const snapshot = (followed: FollowedPrefix, revision: number, era = 1) =>
  followed.applyBatch({
    kind: "snapshot",
    revision: at(revision, era),
    entries: [entry("a/1", 2), entry("a/2", 3)],
  });
const pass = () =>
  daemon.applyDelta(relay.deltaSince(daemon.revision)!, daemon.revision, false);

beforeEach(() => {
  const options = { prefix: "a/", onChange: () => {} };
  relay = new FollowedPrefix(options);
  daemon = new FollowedPrefix(options);
  snapshot(relay, 5);
});

describe("a delta of a prefix", () => {
  it("brings a daemon that knows nothing up to date", () => {
    expect(pass()).toBe(true);
    expect(daemon.snapshot()).toEqual(relay.snapshot());
  });

  it("contains what has changed, and tells of what was deleted", () => {
    pass();
    relay.applyBatch({
      kind: "events",
      revision: at(8),
      events: [
        { kind: "put", entry: entry("a/3", 6) },
        { kind: "delete", key: "a/1", modRevision: 7 },
      ],
    });
    const delta = relay.deltaSince(daemon.revision)!;
    expect(delta.entries.map(({ key }) => key)).toEqual(["a/3"]);
    expect(daemon.applyDelta(delta, daemon.revision, false)).toBe(true);
    expect(valuesOf(daemon)).toEqual(["a/2@3", "a/3@6"]);
  });

  it("only tells the revision where other prefixes have changed", () => {
    pass();
    relay.applyBatch({ kind: "events", revision: at(9), events: [] });
    const delta = relay.deltaSince(daemon.revision)!;
    expect(delta).toEqual({
      revision: at(9),
      entries: [],
      keys: null,
      omitted: [],
    });
    expect(daemon.applyDelta(delta, daemon.revision, false)).toBe(true);
    expect(daemon.revision).toEqual(at(9));
    expect(daemon.changeRevision).toEqual(at(5));
    expect(relay.deltaSince(daemon.revision)).toBeUndefined();
  });

  it("leaves large values out, and names them", () => {
    const delta = relay.deltaSince(at(0, 0), 4)!;
    expect(delta.entries).toEqual([]);
    expect(delta.omitted).toEqual(["a/1", "a/2"]);
    const entries = [entry("a/1", 2), entry("a/2", 3)];
    expect(daemon.applyDelta({ ...delta, entries }, at(0, 0), false)).toBe(
      true,
    );
    expect(daemon.snapshot()).toEqual(relay.snapshot());
  });

  // Guards against a daemon that passes over a change which it was told of, but
  // does not have yet, since a later delta says that nothing else has changed.
  it("is refused where it begins after what the daemon knows", () => {
    pass();
    relay.applyBatch({
      kind: "events",
      revision: at(7),
      events: [{ kind: "put", entry: entry("a/2", 7) }],
    });
    relay.applyBatch({ kind: "events", revision: at(9), events: [] });
    const delta = relay.deltaSince(at(7))!;
    expect(delta.keys).toBeNull();
    expect(daemon.applyDelta(delta, at(7), false)).toBe(false);
    expect(daemon.revision).toEqual(at(5));
    expect(pass()).toBe(true);
    expect(valuesOf(daemon)).toEqual(["a/1@2", "a/2@7"]);
  });

  // Guards against a relay that is behind, or still in an earlier era.
  it("never takes a daemon back", () => {
    const old = relay.deltaSince(at(0, 0))!;
    snapshot(daemon, 4, 2);
    expect(daemon.applyDelta(old, at(0, 0), false)).toBe(true);
    expect(daemon.revision).toEqual(at(4, 2));
    expect(relay.deltaSince(daemon.revision)).toBeUndefined();
  });

  it("contains everything for a daemon of an earlier era", () => {
    pass();
    snapshot(relay, 3, 2);
    expect(relay.deltaSince(daemon.revision)!.entries).toHaveLength(2);
    expect(pass()).toBe(true);
    expect(daemon.revision).toEqual(at(3, 2));
  });

  // Guards against a relay that is wrong about what the daemon knows.
  it("is refused where it lacks entries that the daemon does not know", () => {
    const delta = { ...relay.deltaSince(at(4))!, entries: [] };
    expect(delta.keys).toEqual(["a/1", "a/2"]);
    expect(daemon.applyDelta(delta, daemon.revision, false)).toBe(false);
    expect(valuesOf(daemon)).toEqual([]);
    const foreign = {
      revision: at(9, 2),
      entries: [],
      keys: null,
      omitted: [],
    };
    expect(daemon.applyDelta(foreign, daemon.revision, false)).toBe(false);
    expect(daemon.revision).toEqual(at(0, 0));
  });
});
