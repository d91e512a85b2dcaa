import { z } from "zod";

/**
 * What became of a request. `not-run` is only said where it is certain that
 * no target ran it; `unknown` only where neither of the others is certain.
 */
export const outcomeSchema = z.enum(["completed", "not-run", "unknown"]);

/** What became of a request. */
export type Outcome = z.infer<typeof outcomeSchema>;
