import { z } from "zod";

/** A load report of a target; `ageMs` because daemons share no clock. */
const CapacitySchema = z.object({
  slots: z.number().int().nonnegative(),
  slowdown: z.number().positive(),
  ageMs: z.number().nonnegative(),
});
export type Capacity = z.infer<typeof CapacitySchema>;

/** A request for a slot of a target. All times are relative to its receipt. */
const SlotAskSchema = z.object({
  target: z.string(),
  /** Unique over all daemons; the same when the daemon asks again. */
  id: z.string(),
  rank: z.number(),
  team: z.string().optional(),
  timeLeftMs: z.number(),
  objectiveLeftMs: z.number(),
  expectedWorkMs: z.number().nonnegative(),
  mayWaitMs: z.number(),
  /** Slots of the target's registration. */
  slots: z.number().int().nonnegative(),
  /** The last report of the target to the asking daemon. */
  capacity: CapacitySchema.optional(),
});
export type SlotAsk = z.infer<typeof SlotAskSchema>;

/** Requests for slots of targets with the same owner. */
export const SlotAsksSchema = z.object({
  asks: z.array(SlotAskSchema),
  /** How long the response may be held back until the turns come. */
  holdMs: z.number().nonnegative(),
});
export type SlotAsks = z.infer<typeof SlotAsksSchema>;

const SlotReplySchema = z.union([
  z.object({ kind: z.literal("execute") }),
  z.object({ kind: z.literal("wait") }),
  z.object({
    kind: z.literal("reject"),
    retryAfterMs: z.number().nonnegative(),
  }),
]);
export type SlotReply = z.infer<typeof SlotReplySchema>;

/** The replies, in the order of the asks. */
export const SlotRepliesSchema = z.array(SlotReplySchema);

/** The end of one wait or execution. */
export interface EndedSlot {
  readonly target: string;
  readonly id: string;
  readonly wasGranted: boolean;
  readonly capacity: Capacity | undefined;
}

/** The ends of waits and executions at one target. */
const EndedSlotsSchema = z.object({
  target: z.string(),
  /** Requests whose execution has ended. */
  released: z.array(z.string()),
  /** Requests that no longer wait for a slot. */
  cancelled: z.array(z.string()),
  capacity: CapacitySchema.optional(),
});
export type EndedSlots = z.infer<typeof EndedSlotsSchema>;

export const EndedSlotsListSchema = z.object({
  targets: z.array(EndedSlotsSchema),
});

/** Announces that the slots of a target may run out. */
export const ContendedSchema = z.object({ target: z.string() });

/** Groups ends by target; the latest report of each target applies. */
export function groupEnds(ends: readonly EndedSlot[]): EndedSlots[] {
  const byTarget = new Map<string, EndedSlots>();
  for (const { target, id, wasGranted, capacity } of ends) {
    const ended = byTarget.get(target) ??
      { target, released: [], cancelled: [] };
    byTarget.set(target, { ...ended, capacity: capacity ?? ended.capacity });
    (wasGranted ? ended.released : ended.cancelled).push(id);
  }
  return [...byTarget.values()];
}
