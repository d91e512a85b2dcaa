import { z } from "zod";

/**
 * A point in the history of a store. Each change raises `revision` by one. A
 * store that is restored from an older copy begins the next era, in which it
 * gives out revisions again, so only both together are ordered.
 */
export const StoreRevisionSchema = z.object({
  era: z.int().nonnegative(),
  revision: z.int().nonnegative(),
});
export type StoreRevision = z.infer<typeof StoreRevisionSchema>;

/** Before everything that a store has responded. */
export const INITIAL_REVISION: StoreRevision = { era: 0, revision: 0 };

/** Negative if `a` is earlier than `b`, 0 if they are equal. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
  return a.era - b.era || a.revision - b.revision;
}

/** Whether `a` is later than `b`. */
export function isLater(a: StoreRevision, b: StoreRevision): boolean {
  return compareRevisions(a, b) > 0;
}

/** Whether `after` begins an era that was not known at `before`. */
export function startsEra(
  before: StoreRevision,
  after: StoreRevision,
): boolean {
  return isLater(before, INITIAL_REVISION) && after.era > before.era;
}
