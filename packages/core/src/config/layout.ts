import { z } from "zod";

/**
 * How objects are grouped into parts. Objects are distributed over leaves by
 * the hash of their keys, so a change of one object changes one leaf. Above
 * `MAX_FLAT_LEAVES` leaves, the head lists groups and each group has an index
 * part that lists its leaves. Otherwise the head would grow with the set.
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

/**
 * Maximum number of leaves that a head lists directly; also the number of
 * groups above that.
 */
export const MAX_FLAT_LEAVES = 32;

/**
 * Target number of objects per leaf in a new layout. With teams of about 200
 * bytes and digests of about 70 bytes, a leaf, an index and a head then have
 * about the same size, which minimizes their sum.
 */
const TARGET_LEAF_OBJECTS = 8;

/**
 * Hysteresis: a layout is retained until its leaf count is off by this factor.
 */
const LAYOUT_HYSTERESIS_FACTOR = 2;

/**
 * Chooses the layout for a set. The current layout is retained while its leaf
 * count is within `LAYOUT_HYSTERESIS_FACTOR` of the ideal, so that a set that
 * grows and shrinks is not completely rewritten each time.
 */
export function chooseLayout(
  objectCount: number,
  current: Layout | undefined,
): Layout {
  const idealLeaves = Math.max(1, objectCount / TARGET_LEAF_OBJECTS);
  if (current && isWithinFactor(current.leafCount, idealLeaves)) return current;
  return { leafCount: 2 ** Math.round(Math.log2(idealLeaves)) };
}

/** Number of groups that the head lists; 0 if the head lists the leaves. */
export function countGroups(layout: Layout): number {
  return layout.leafCount > MAX_FLAT_LEAVES ? MAX_FLAT_LEAVES : 0;
}

function isWithinFactor(leafCount: number, idealLeaves: number): boolean {
  return leafCount <= idealLeaves * LAYOUT_HYSTERESIS_FACTOR &&
    idealLeaves <= leafCount * LAYOUT_HYSTERESIS_FACTOR;
}
