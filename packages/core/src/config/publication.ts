import { z } from "zod";
import type { FleetObject } from "../objects/index.ts";
import { CONFIG_RECORD_PREFIX, type ConfigHead } from "./config_head.ts";
import { buildConfigTree } from "./config_tree.ts";
import { objectChangeSchema } from "./diff_objects.ts";
import { chooseLayout, type Layout } from "./layout.ts";
import type { Sha256Hex } from "./part_contents.ts";

/** Metadata that the publisher provides for a set. */
export interface PublicationMetadata {
  readonly revision: number;
  readonly nonce: string;
  readonly publishedBy: string;
  readonly publishedAtMs: number;
}

/** A set to be written to the platform: first the parts, then the head. */
export interface Publication {
  readonly head: ConfigHead;
  /** Text of every part by digest. */
  readonly texts: ReadonlyMap<string, string>;
}

/** Splits validated objects into parts and creates the head. */
export function createPublication(
  objects: readonly FleetObject[],
  metadata: PublicationMetadata,
  currentLayout: Layout | undefined,
  sha256Hex: Sha256Hex,
): Publication {
  const layout = chooseLayout(objects.length, currentLayout);
  const tree = buildConfigTree(objects, layout, sha256Hex);
  return {
    head: { ...metadata, layout, parts: tree.rootParts },
    texts: tree.texts,
  };
}

/**
 * Number of digits of a revision in a record key; zero padding makes the keys
 * sort.
 */
const RECORD_KEY_DIGITS = 12;

/**
 * The changes of one publication; written in the same transaction as the head.
 */
export const publicationRecordSchema = z.object({
  revision: z.int().positive(),
  nonce: z.string(),
  publishedBy: z.string(),
  publishedAtMs: z.int().nonnegative(),
  /** The first changes, sorted by key. */
  changes: z.array(objectChangeSchema),
  /** Total number of changes. */
  changeCount: z.int().nonnegative(),
});

/** The changes of one publication. */
export type PublicationRecord = z.infer<typeof publicationRecordSchema>;

/** Key of the publication record of a revision. */
export function publicationRecordKey(revision: number): string {
  return CONFIG_RECORD_PREFIX +
    String(revision).padStart(RECORD_KEY_DIGITS, "0");
}
