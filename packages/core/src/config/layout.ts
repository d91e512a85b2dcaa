import { z } from "zod";

/**
 * How objects are grouped into parts. Objects are spread over leaves by the
 * hash of their keys, so that a change of one object changes one leaf. Above
 * `MAX_FLAT_LEAVES` leaves, the head lists groups, and an index part for each
 * group lists its leaves; the head would else grow with the set.
 */
export const layoutSchema = z.strictObject({
  /** Number of leaves, a power of two. */
  leafCount: z.int().min(1).max(65_536)
    .refine((count) => Number.isInteger(Math.log2(count)), {
      message: "use a power of two",
    }),
});

/** How objects are grouped into parts. */
export type Layout = z.infer<typeof layoutSchema>;

/** Leaves that a head lists itself; above it, the number of groups. */
export const MAX_FLAT_LEAVES = 32;

/**
 * The number of objects in a leaf that a new layout aims at. With teams of
 * about 200 bytes and digests of about 70, a leaf, an index and a head then
 * are of about the same size, which makes their sum the smallest.
 */
const TARGET_LEAF_OBJECTS = 8;

/** A layout is kept until its leaves are this many times too full or empty. */
const KEPT_LAYOUT_FACTOR = 2;

/**
 * Chooses the layout for a set. The current one is kept while it is near
 * enough, so that a set that grows and shrinks is not written anew each time.
 */
export function chooseLayout(
  objectCount: number,
  current: Layout | undefined,
): Layout {
  const idealLeaves = Math.max(1, objectCount / TARGET_LEAF_OBJECTS);
  if (current && isNearEnough(current.leafCount, idealLeaves)) return current;
  return { leafCount: 2 ** Math.round(Math.log2(idealLeaves)) };
}

/** The number of groups that the head lists; 0 where it lists the leaves. */
export function countGroups(layout: Layout): number {
  return layout.leafCount > MAX_FLAT_LEAVES ? MAX_FLAT_LEAVES : 0;
}

function isNearEnough(leafCount: number, idealLeaves: number): boolean {
  return leafCount <= idealLeaves * KEPT_LAYOUT_FACTOR &&
    idealLeaves <= leafCount * KEPT_LAYOUT_FACTOR;
}
