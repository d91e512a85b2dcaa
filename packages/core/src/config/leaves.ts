import { hash32 } from "../hash/index.ts";
import type { FleetObject } from "../objects/index.ts";
import type { ConfigHead } from "./config_head.ts";
import { countGroups, type Layout } from "./layout.ts";
import { type ObjectKey, objectKey } from "./object_key.ts";
import type { PartContents, PartDigests } from "./part_contents.ts";

/** A stored part with its parsed contents. */
export interface StoredPart {
  readonly text: string;
  readonly contents: PartContents;
}

/** One leaf of a set. */
export interface Leaf {
  readonly digest: string;
  readonly objects: readonly FleetObject[];
}

/** The stored and missing parts of a head. */
export interface CollectedParts {
  readonly missing: readonly string[];
  readonly stored: ReadonlyMap<string, StoredPart>;
  /** Leaves by name. */
  readonly leaves: ReadonlyMap<string, Leaf>;
}

/** Collects the indexes and leaves that are reachable from a head. */
export function collectParts(
  head: ConfigHead,
  parts: ReadonlyMap<string, StoredPart>,
): CollectedParts {
  const missing: string[] = [];
  const stored = new Map<string, StoredPart>();
  const leaves = new Map<string, Leaf>();
  const visit = (digests: PartDigests, hasIndexes: boolean) => {
    for (const [name, digest] of Object.entries(digests)) {
      const part = parts.get(digest);
      if (!part) {
        missing.push(digest);
        continue;
      }
      stored.set(digest, part);
      const { contents } = part;
      if (contents.kind === "leaf") {
        leaves.set(name, { digest, objects: contents.objects });
      } else if (hasIndexes) visit(contents.parts, false);
    }
  };
  visit(head.parts, countGroups(head.layout) > 0);
  return { missing, stored, leaves };
}

/** The leaves of `after` that are not in `before`. */
export function selectChangedLeaves(
  before: ReadonlyMap<string, Leaf>,
  after: ReadonlyMap<string, Leaf>,
): Map<string, Leaf> {
  const changed = new Map<string, Leaf>();
  for (const [name, leaf] of after) {
    if (before.get(name)?.digest !== leaf.digest) changed.set(name, leaf);
  }
  return changed;
}

/**
 * Returns the key of an object that is in the wrong leaf for its hash or twice
 * in its leaf. If every object is in the leaf of its hash, no two leaves can
 * contain the same object.
 */
export function findMisplacedObject(
  leaves: ReadonlyMap<string, Leaf>,
  layout: Layout,
): ObjectKey | undefined {
  for (const [name, { objects }] of leaves) {
    const keys = new Set<ObjectKey>();
    for (const object of objects) {
      const key = objectKey(object);
      const isOwnLeaf = findLeaf(key, layout) === Number(name);
      if (!isOwnLeaf || keys.has(key)) return key;
      keys.add(key);
    }
  }
  return undefined;
}

/** Number of the leaf that contains the object with this key. */
export function findLeaf(key: ObjectKey, layout: Layout): number {
  return hash32(key) % layout.leafCount;
}
