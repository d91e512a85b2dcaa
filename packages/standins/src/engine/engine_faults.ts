import { z } from "zod";
import { targetFaultsSchema } from "../target/index.ts";

/** The faults of a model engine, all off by default. */
export const engineFaultsSchema = targetFaultsSchema.extend({
  /** Answers with the answer and the id of another request. */
  crossedAnswers: z.boolean().default(false),
  /** Sends every token's event twice; whole answers have none. */
  doubledChunks: z.boolean().default(false),
  /**
   * Sends all tokens of a stream a second time before its end, and a whole
   * answer a second time behind its end on the same connection.
   */
  doubledAnswers: z.boolean().default(false),
  /** Ends the answer after so many tokens, without its terminal events. */
  truncateAfterTokens: z.int().nonnegative().nullable().default(null),
  /** Whether a truncated answer ends its HTTP body as if it were whole. */
  truncateCleanly: z.boolean().default(false),
  /** Gives the answer an id of another request, with the right tokens. */
  wrongId: z.boolean().default(false),
  /** Crashes once it has sent so many tokens of an answer. */
  killAfterTokens: z.int().nonnegative().nullable().default(null),
});

export type EngineFaults = z.infer<typeof engineFaultsSchema>;
