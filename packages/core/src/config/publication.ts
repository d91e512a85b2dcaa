import type { FleetObject } from "../objects/index.ts";
import type { ConfigHead } from "./config_head.ts";
import { buildConfigTree } from "./config_tree.ts";
import { chooseLayout, type Layout } from "./layout.ts";
import type { Sha256Hex } from "./part_contents.ts";

/** What a publisher says of a set. */
export interface PublicationFacts {
  readonly revision: number;
  readonly nonce: string;
  readonly publishedBy: string;
  readonly publishedAtMs: number;
}

/** A set ready to be written: parts first, then the head. */
export interface Publication {
  readonly head: ConfigHead;
  /** The text of every part by its digest. */
  readonly texts: ReadonlyMap<string, string>;
}

/** Splits checked objects and creates their head. */
export function createPublication(
  objects: readonly FleetObject[],
  facts: PublicationFacts,
  currentLayout: Layout | undefined,
  sha256Hex: Sha256Hex,
): Publication {
  const layout = chooseLayout(objects.length, currentLayout);
  const tree = buildConfigTree(objects, layout, sha256Hex);
  return {
    head: { ...facts, layout, parts: tree.rootParts },
    texts: tree.texts,
  };
}
