import { hash32 } from "../hash/index.ts";
import type { FleetObject } from "../objects/index.ts";
import type { ConfigHead } from "./config_head.ts";
import { countGroups, type Layout } from "./layout.ts";
import { type ObjectKey, objectKey } from "./object_key.ts";
import type { PartContents, PartDigests } from "./part_contents.ts";

/** A part that is held, with its contents read. */
export interface StoredPart {
  readonly text: string;
  readonly contents: PartContents;
}

/** One leaf of a set. */
export interface Leaf {
  readonly digest: string;
  readonly objects: readonly FleetObject[];
}

/** The parts of a head, as far as they are held. */
export interface CollectedParts {
  readonly missing: readonly string[];
  readonly held: ReadonlyMap<string, StoredPart>;
  /** The leaves by name. */
  readonly leaves: ReadonlyMap<string, Leaf>;
}

/** Walks from a head over its indexes to its leaves. */
export function collectParts(
  head: ConfigHead,
  parts: ReadonlyMap<string, StoredPart>,
): CollectedParts {
  const missing: string[] = [];
  const held = new Map<string, StoredPart>();
  const leaves = new Map<string, Leaf>();
  const visit = (digests: PartDigests, hasIndexes: boolean) => {
    for (const [name, digest] of Object.entries(digests)) {
      const part = parts.get(digest);
      if (!part) {
        missing.push(digest);
        continue;
      }
      held.set(digest, part);
      const { contents } = part;
      if (contents.kind === "leaf") {
        leaves.set(name, { digest, objects: contents.objects });
      } else if (hasIndexes) visit(contents.parts, false);
    }
  };
  visit(head.parts, countGroups(head.layout) > 0);
  return { missing, held, leaves };
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
 * The key of an object that is not where its hash puts it, or there twice.
 * With every object in its own leaf, no two leaves can hold the same one.
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

/** The number of the leaf that holds an object. */
export function findLeaf(key: ObjectKey, layout: Layout): number {
  return hash32(key) % layout.leafCount;
}
