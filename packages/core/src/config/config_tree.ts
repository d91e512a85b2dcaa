import type { FleetObject } from "../objects/index.ts";
import { countGroups, type Layout } from "./layout.ts";
import { findLeaf } from "./leaves.ts";
import { objectKey, sortByKey } from "./object_key.ts";
import {
  type PartDigests,
  type Sha256Hex,
  writeIndex,
  writeLeaf,
} from "./part_contents.ts";

/** A set split into content-addressed parts. */
export interface ConfigTree {
  readonly layout: Layout;
  /** Digests of the parts that the head lists. */
  readonly rootParts: PartDigests;
  /** Text of every part, including indexes, by digest. */
  readonly texts: ReadonlyMap<string, string>;
}

/** Splits objects into parts. Equal sets produce equal trees. */
export function buildConfigTree(
  objects: readonly FleetObject[],
  layout: Layout,
  sha256Hex: Sha256Hex,
): ConfigTree {
  const texts = new Map<string, string>();
  const addPart = (text: string): string => {
    const digest = sha256Hex(text);
    texts.set(digest, text);
    return digest;
  };
  const leafDigests: Record<string, string> = {};
  for (const [leaf, members] of groupByLeaf(objects, layout)) {
    leafDigests[leaf] = addPart(writeLeaf(members));
  }
  const rootParts = countGroups(layout) === 0
    ? leafDigests
    : addIndexes(leafDigests, layout, addPart);
  return { layout, rootParts, texts };
}

function addIndexes(
  leafDigests: PartDigests,
  layout: Layout,
  addPart: (text: string) => string,
): PartDigests {
  const leavesPerGroup = layout.leafCount / countGroups(layout);
  const groups = new Map<number, Record<string, string>>();
  for (const [leaf, digest] of Object.entries(leafDigests)) {
    const group = Math.floor(Number(leaf) / leavesPerGroup);
    const members = groups.get(group) ?? {};
    members[leaf] = digest;
    groups.set(group, members);
  }
  const rootParts: Record<string, string> = {};
  for (const [group, members] of groups) {
    rootParts[group] = addPart(writeIndex(members));
  }
  return rootParts;
}

/** Groups objects by leaf, sorted by key. Empty leaves are omitted. */
function groupByLeaf(
  objects: readonly FleetObject[],
  layout: Layout,
): Map<number, FleetObject[]> {
  const leaves = new Map<number, FleetObject[]>();
  for (const object of sortByKey(objects)) {
    const leaf = findLeaf(objectKey(object), layout);
    const members = leaves.get(leaf) ?? [];
    members.push(object);
    leaves.set(leaf, members);
  }
  return leaves;
}
