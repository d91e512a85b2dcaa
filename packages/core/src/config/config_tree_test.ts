import { describe, expect, it } from "@jest/globals";
import { createHash } from "node:crypto";
import { type FleetObject, objectSchema } from "../objects/index.ts";
import { writeCanonicalJson } from "./canonical_json.ts";
import { buildConfigTree, type ConfigTree } from "./config_tree.ts";
import { chooseLayout } from "./layout.ts";

/** Projected number of teams in some years, and of object changes per day. */
const TEAM_COUNT = 5_700;
const CHANGES_PER_DAY = 6_700;
/** Control traffic budget of one daemon at that size. */
const BUDGET_BYTES_PER_S = 9_000;
/** Number of daemons to which each daemon forwards a change. */
const FAN_OUT = 2;

const sha256Hex = (text: string) =>
  createHash("sha256").update(text).digest("hex");

function createTeams(count: number): FleetObject[] {
  return Array.from({ length: count }, (_item, index) =>
    objectSchema.parse({
      kind: "team",
      name: `team-${index}`,
      apiKeySha256: [sha256Hex(`key ${index}`), sha256Hex(`old ${index}`)],
      shareWeight: 1 + index % 7,
    }));
}

/** Bytes that a daemon with `before` must fetch to get `after`. */
function countChangedBytes(before: ConfigTree, after: ConfigTree): number {
  let bytes = Buffer.byteLength(writeCanonicalJson(after.rootParts));
  for (const [digest, text] of after.texts) {
    if (!before.texts.has(digest)) bytes += Buffer.byteLength(text);
  }
  return bytes;
}

describe("buildConfigTree", () => {
  it("does not depend on the order of the objects", () => {
    const teams = createTeams(100);
    const layout = chooseLayout(teams.length, undefined);
    const one = buildConfigTree(teams, layout, sha256Hex);
    const two = buildConfigTree([...teams].reverse(), layout, sha256Hex);
    expect(two.rootParts).toEqual(one.rootParts);
  });

  it("transfers a change within its share of the byte budget", () => {
    const teams = createTeams(TEAM_COUNT);
    const layout = chooseLayout(teams.length, undefined);
    const before = buildConfigTree(teams, layout, sha256Hex);
    const changed = teams.map((team, index) =>
      index === 1234 ? { ...team, shareWeight: 99 } : team
    );
    const after = buildConfigTree(changed, layout, sha256Hex);
    const changeBytes = countChangedBytes(before, after);
    const bytesPerS = changeBytes * (1 + FAN_OUT) * CHANGES_PER_DAY / 86_400;
    expect(bytesPerS).toBeLessThan(BUDGET_BYTES_PER_S / 4);
    const newDigests = [...after.texts.keys()].filter((key) =>
      !before.texts.has(key)
    );
    expect(newDigests).toHaveLength(2);
  });
});

describe("chooseLayout", () => {
  it("retains a layout within the hysteresis", () => {
    const layout = chooseLayout(1_000, undefined);
    expect(chooseLayout(1_900, layout)).toBe(layout);
    expect(chooseLayout(600, layout)).toBe(layout);
    expect(chooseLayout(3_000, layout)).not.toEqual(layout);
    expect(chooseLayout(10, undefined)).toEqual({ leafCount: 1 });
  });
});
