import { describe, expect, it } from "@jest/globals";
import { createHash } from "node:crypto";
import { type FleetObject, objectSchema } from "../objects/index.ts";
import { ConfigFollower, type FollowerAction } from "./config_follower.ts";
import type { ConfigHead } from "./config_head.ts";
import { buildConfigTree, type ConfigTree } from "./config_tree.ts";
import { chooseLayout, type Layout } from "./layout.ts";

const PLATFORM = { kind: "platform" } as const;
const PEER = { kind: "peer", vm: "entry-2" } as const;

const sha256Hex = (text: string) =>
  createHash("sha256").update(text).digest("hex");

const team = (name: string, shareWeight = 1): FleetObject =>
  objectSchema.parse({ kind: "team", name, shareWeight });

interface Published {
  readonly head: ConfigHead;
  readonly tree: ConfigTree;
}

function publish(
  revision: number,
  objects: FleetObject[],
  nonce = `nonce-${revision}`,
  layout: Layout = chooseLayout(objects.length, undefined),
): Published {
  const tree = buildConfigTree(objects, layout, sha256Hex);
  const head = {
    revision,
    nonce,
    layout,
    parts: tree.rootParts,
    publishedBy: "test",
    publishedAtMs: 0,
  };
  return { head, tree };
}

/** Offers a head and every requested part. */
function applyPublication(
  follower: ConfigFollower,
  { head, tree }: Published,
  source: typeof PLATFORM | typeof PEER = PLATFORM,
): { readonly actions: FollowerAction[]; readonly fetched: string[] } {
  const fetched: string[] = [];
  let actions = follower.offerHead(head, source);
  for (;;) {
    const fetch = actions.find((action) => action.kind === "fetch-parts");
    if (!fetch) return { actions, fetched };
    for (const digest of fetch.digests) {
      fetched.push(digest);
      actions = follower.offerPart(digest, tree.texts.get(digest)!, source);
    }
  }
}

const teams = (count: number) =>
  Array.from({ length: count }, (_item, index) => team(`team-${index}`));

describe("ConfigFollower", () => {
  it("fetches only the parts that changed", () => {
    const follower = new ConfigFollower(sha256Hex);
    const objects = teams(1_000);
    const layout = chooseLayout(objects.length, undefined);
    applyPublication(follower, publish(1, objects));
    const changed = [...objects.slice(1), team("team-0", 5)];
    const second = applyPublication(follower, publish(2, changed, "b", layout));
    expect(second.fetched).toHaveLength(2);
    expect(second.actions).toMatchObject([{
      kind: "apply",
      changes: [{ key: "team/team-0", fields: ["shareWeight"] }],
    }]);
  });

  it("builds the parts of a new layout from the set in force", () => {
    const follower = new ConfigFollower(sha256Hex);
    const objects = teams(600);
    applyPublication(follower, publish(1, objects, "a", { leafCount: 16 }));
    const moved = [...objects.slice(1), team("team-0", 5)];
    const second = applyPublication(
      follower,
      publish(2, moved, "b", { leafCount: 128 }),
    );
    expect(second.fetched).toHaveLength(2);
    expect(follower.applied?.set.teams.size).toBe(600);
  });

  it("rejects an older head of a restored platform and keeps its set in force", () => {
    const follower = new ConfigFollower(sha256Hex);
    applyPublication(follower, publish(5, teams(3)));
    const { actions } = applyPublication(follower, publish(4, teams(2)));
    expect(actions).toMatchObject([
      { kind: "refuse", reason: "older-revision", revision: 4 },
    ]);
    expect(follower.applied?.set.teams.size).toBe(3);
    expect(applyPublication(follower, publish(4, teams(2)), PEER).actions)
      .toEqual([]);
  });

  it("rejects another set under the revision in force", () => {
    const follower = new ConfigFollower(sha256Hex);
    applyPublication(follower, publish(5, teams(3)));
    expect(applyPublication(follower, publish(5, teams(3))).actions).toEqual(
      [],
    );
    const { actions } = applyPublication(
      follower,
      publish(5, teams(2), "other"),
    );
    expect(actions).toMatchObject([{ reason: "conflicting-revision" }]);
    applyPublication(follower, publish(6, teams(2)));
    expect(follower.applied?.head.revision).toBe(6);
  });

  it("applies the highest head that peers offer in any order", () => {
    const follower = new ConfigFollower(sha256Hex);
    const high = publish(7, teams(4));
    follower.offerHead(high.head, PEER);
    expect(follower.offerHead(publish(6, teams(2)).head, PEER)).toEqual([]);
    for (const [digest, text] of high.tree.texts) {
      follower.offerPart(digest, text, PEER);
    }
    expect(follower.applied?.head.revision).toBe(7);
    expect(follower.exportPart([...high.tree.texts.keys()][0]!)).toBeDefined();
  });

  it("accepts a lower head after the pending one is abandoned", () => {
    const follower = new ConfigFollower(sha256Hex);
    follower.offerHead(publish(7, teams(4)).head, PEER);
    follower.abandonPending();
    applyPublication(follower, publish(6, teams(2)), PEER);
    expect(follower.applied?.head.revision).toBe(6);
  });

  it("rejects a damaged part and accepts the intact part from another source", () => {
    const follower = new ConfigFollower(sha256Hex);
    const { head, tree } = publish(1, teams(2));
    follower.offerHead(head, PEER);
    const [digest, text] = [...tree.texts][0]!;
    expect(follower.offerPart(digest, `${text} `, PEER)).toMatchObject([
      { reason: "wrong-digest" },
    ]);
    expect(follower.offerPart(digest, text, PLATFORM)).toMatchObject([
      { kind: "apply" },
    ]);
  });

  it("rejects an invalid set and does not fetch it again", () => {
    const follower = new ConfigFollower(sha256Hex);
    applyPublication(follower, publish(1, teams(2)));
    const dangling = objectSchema.parse({
      kind: "pool",
      name: "p",
      model: "gone",
    });
    const bad = publish(2, [...teams(2), dangling]);
    expect(applyPublication(follower, bad).actions).toMatchObject([
      { reason: "invalid-set", revision: 2 },
    ]);
    expect(applyPublication(follower, bad).actions).toEqual([]);
    expect(follower.applied?.head.revision).toBe(1);
  });

  it("rejects an object in the wrong leaf", () => {
    const follower = new ConfigFollower(sha256Hex);
    const layout = { leafCount: 16 };
    const { head, tree } = publish(1, teams(100), "a", layout);
    const parts = { ...head.parts, "0": head.parts["1"]! };
    const { actions } = applyPublication(follower, {
      head: { ...head, parts },
      tree,
    });
    expect(actions).toMatchObject([{ reason: "invalid-set" }]);
  });

  it("lists added, changed and removed objects", () => {
    const follower = new ConfigFollower(sha256Hex);
    const layout = { leafCount: 16 };
    applyPublication(follower, publish(1, teams(100), "a", layout));
    const after = [...teams(99).slice(1), team("team-0", 3), team("fresh")];
    const { actions } = applyPublication(
      follower,
      publish(2, after, "b", layout),
    );
    expect(actions).toMatchObject([{
      changes: [
        { key: "team/fresh", change: "added" },
        { key: "team/team-0", change: "changed" },
        { key: "team/team-99", change: "removed" },
      ],
    }]);
  });

  it("rejects a head and a part that do not match their schema", () => {
    const follower = new ConfigFollower(sha256Hex);
    expect(follower.offerHead({ revision: "x" }, PLATFORM)).toMatchObject([
      { reason: "malformed-head" },
    ]);
    const text = '{"kind":"leaf","objects":[{"kind":"tram"}]}';
    const digest = sha256Hex(text);
    const { head } = publish(1, teams(1));
    follower.offerHead({ ...head, parts: { "0": digest } }, PLATFORM);
    expect(follower.offerPart(digest, text, PLATFORM)).toMatchObject([
      { reason: "malformed-part" },
    ]);
    expect(follower.applied).toBeUndefined();
  });
});
