import { describe, expect, it } from "@jest/globals";
import { ListedPeers } from "./listed_peers.ts";

const GRACE_MS = 10_000;
const peers = (...names: string[]) => names.map((name) => ({ name }));

function namesOf(listed: ListedPeers<{ name: string }>, nowMs: number) {
  return listed.list(nowMs).map(({ name }) => name);
}

describe("the daemons in the list of the store", () => {
  // Guards against shares of fewer daemons than there are, which add up to more
  // than a budget allows.
  it("stay listed where a restored store has lost them", () => {
    const listed = new ListedPeers(GRACE_MS);
    listed.update(peers("a", "b", "c"), 0, false);
    listed.update(peers("a"), 1_000, true);
    expect(namesOf(listed, 1_000)).toEqual(["a", "b", "c"]);
    listed.update(peers("a", "b"), 3_000, false);
    expect(namesOf(listed, 3_000)).toEqual(["a", "b", "c"]);
    expect(namesOf(listed, 11_000)).toEqual(["a", "b"]);
  });

  it("leave the list where they end", () => {
    const listed = new ListedPeers(GRACE_MS);
    listed.update(peers("a", "b"), 0, false);
    listed.update(peers("a"), 1_000, false);
    expect(namesOf(listed, 1_000)).toEqual(["a"]);
  });
});
