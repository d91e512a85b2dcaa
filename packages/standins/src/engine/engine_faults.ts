import { z } from "zod";
import { targetFaultsSchema } from "../target/index.ts";

/** The faults of a model engine, all off by default. */
export const engineFaultsSchema = targetFaultsSchema.extend({
  /** Responds with the completion and the id of another request. */
  crossedAnswers: z.boolean().default(false),
  /** Sends the event of each token twice; buffered responses are unaffected. */
  doubledChunks: z.boolean().default(false),
  /**
   * Sends all tokens of a stream a second time before its end. Sends a
   * buffered response a second time on the same connection, after the first.
   */
  doubledAnswers: z.boolean().default(false),
  /** Ends the response after this many tokens, without its terminal events. */
  truncateAfterTokens: z.int().nonnegative().nullable().default(null),
  /** Whether a truncated response ends its HTTP body without an error. */
  truncateCleanly: z.boolean().default(false),
  /** Sends the correct tokens with the id of another request. */
  wrongId: z.boolean().default(false),
  /** Crashes after sending this many tokens of a response. */
  killAfterTokens: z.int().nonnegative().nullable().default(null),
  /**
   * Crashes on a request with a poison marker only after sending this many
   * tokens of its response.
   */
  poisonAfterTokens: z.int().nonnegative().default(0),
});

export type EngineFaults = z.infer<typeof engineFaultsSchema>;
