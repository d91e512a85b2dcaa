import {
  buildConfigTree,
  ConfigFollower,
  type ConfigTree,
  type FleetObject,
  type Layout,
  objectSchema,
  RELAY_FAN_OUT,
  writeCanonicalJson,
} from "@coltsfootford/core";
import { sha256Hex } from "@coltsfootford/cli";

const SECONDS_PER_DAY = 86_400;

/** The fleet size and rate of changes for which the cost is computed. */
export interface ChangeCostInput {
  readonly teamCount: number;
  readonly changesPerDay: number;
  /** Number of single-team changes that are averaged. */
  readonly sampleCount: number;
}

/** Cost of a change of one object under a layout. */
export interface ChangeCost {
  readonly layout: Layout;
  readonly setBytes: number;
  readonly partCount: number;
  readonly headPartsBytes: number;
  /** Mean bytes of the digests in the head and of the changed parts. */
  readonly changeBytes: number;
  /** Bytes per second that a daemon receives and relays to its children. */
  readonly daemonBytesPerS: number;
}

/**
 * Measures the mean CPU time in ms that a follower needs to apply a change of
 * one team. The time includes the checks of the digests and of the complete
 * set, and the listing of the differences.
 */
export function measureApplyMs(input: ChangeCostInput, layout: Layout): number {
  const follower = new ConfigFollower(sha256Hex);
  const teams = createTeams(input.teamCount);
  applyTree(follower, 1, buildConfigTree(teams, layout, sha256Hex));
  let totalMs = 0;
  for (let sample = 0; sample < input.sampleCount; sample++) {
    teams[sample] = createTeam(sample, 99);
    const tree = buildConfigTree(teams, layout, sha256Hex);
    const start = process.cpuUsage();
    applyTree(follower, sample + 2, tree);
    const { user, system } = process.cpuUsage(start);
    totalMs += (user + system) / 1_000;
  }
  return totalMs / input.sampleCount;
}

function applyTree(
  follower: ConfigFollower,
  revision: number,
  tree: ConfigTree,
): void {
  const source = { kind: "platform" } as const;
  const head = {
    revision,
    nonce: `nonce-${revision}`,
    layout: tree.layout,
    parts: tree.rootParts,
    publishedBy: "bench",
    publishedAtMs: 0,
  };
  follower.offerHead(head, source);
  while (follower.wantedParts) {
    for (const digest of follower.wantedParts.digests) {
      follower.offerPart(digest, tree.texts.get(digest) ?? "", source);
    }
  }
}

/** Computes the cost of a change of one team. */
export function measureChangeCost(
  input: ChangeCostInput,
  layout: Layout,
): ChangeCost {
  const teams = createTeams(input.teamCount);
  const before = buildConfigTree(teams, layout, sha256Hex);
  const stride = Math.floor(input.teamCount / input.sampleCount);
  let totalBytes = 0;
  for (let sample = 0; sample < input.sampleCount; sample++) {
    const changed = [...teams];
    const index = sample * stride;
    changed[index] = createTeam(index, 99);
    const after = buildConfigTree(changed, layout, sha256Hex);
    totalBytes += countChangedBytes(before, after);
  }
  const changeBytes = totalBytes / input.sampleCount;
  const changesPerS = input.changesPerDay / SECONDS_PER_DAY;
  return {
    layout,
    setBytes: [...before.texts.values()].reduce(
      (sum, text) => sum + Buffer.byteLength(text),
      0,
    ),
    partCount: before.texts.size,
    headPartsBytes: countDigestBytes(before),
    changeBytes,
    daemonBytesPerS: changeBytes * (1 + RELAY_FAN_OUT) * changesPerS,
  };
}

function createTeams(count: number): FleetObject[] {
  return Array.from(
    { length: count },
    (_item, index) => createTeam(index, 1 + index % 7),
  );
}

/** Creates a team with two API keys, as during a key rotation. */
function createTeam(index: number, shareWeight: number): FleetObject {
  return objectSchema.parse({
    kind: "team",
    name: `team-${index}`,
    apiKeySha256: [sha256Hex(`key ${index}`), sha256Hex(`old ${index}`)],
    shareWeight,
  });
}

function countChangedBytes(before: ConfigTree, after: ConfigTree): number {
  let bytes = countDigestBytes(after);
  for (const [digest, text] of after.texts) {
    if (!before.texts.has(digest)) bytes += Buffer.byteLength(text);
  }
  return bytes;
}

function countDigestBytes(tree: ConfigTree): number {
  return Buffer.byteLength(writeCanonicalJson(tree.rootParts));
}
