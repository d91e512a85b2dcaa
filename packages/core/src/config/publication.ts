import { z } from "zod";
import type { FleetObject } from "../objects/index.ts";
import { CONFIG_RECORD_PREFIX, type ConfigHead } from "./config_head.ts";
import { buildConfigTree } from "./config_tree.ts";
import { objectChangeSchema } from "./diff_objects.ts";
import { chooseLayout, type Layout } from "./layout.ts";
import type { Sha256Hex } from "./part_contents.ts";

/** What a publisher says of a set. */
export interface PublicationMetadata {
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
  facts: PublicationMetadata,
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

/** Digits of a revision in the key of its record, so that keys sort. */
const RECORD_KEY_DIGITS = 12;

/** What one publication changed; written in one transaction with its head. */
export const publicationRecordSchema = z.object({
  revision: z.int().positive(),
  nonce: z.string(),
  publishedBy: z.string(),
  publishedAtMs: z.int().nonnegative(),
  /** The first changes, in order of their keys. */
  changes: z.array(objectChangeSchema),
  /** Number of all changes. */
  changeCount: z.int().nonnegative(),
});

/** What one publication changed. */
export type PublicationRecord = z.infer<typeof publicationRecordSchema>;

/** The key of the record of a revision. */
export function publicationRecordKey(revision: number): string {
  return CONFIG_RECORD_PREFIX +
    String(revision).padStart(RECORD_KEY_DIGITS, "0");
}
