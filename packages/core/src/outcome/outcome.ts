import { z } from "zod";

/**
 * The outcome of a request. `not-run` is only reported where it is certain that
 * no target executed the request; `unknown` only where neither of the others is
 * certain.
 */
export const outcomeSchema = z.enum(["completed", "not-run", "unknown"]);

export type Outcome = z.infer<typeof outcomeSchema>;
