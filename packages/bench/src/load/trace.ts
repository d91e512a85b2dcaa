import { z } from "zod";

/** One named phase of a trace. */
const phaseSchema = z.strictObject({
  name: z.enum(["calm", "weekend", "surge", "after"]),
  startMs: z.number(),
  endMs: z.number(),
});

/** First line of a recorded trace. */
export const traceHeadSchema = z.strictObject({
  kind: z.literal("head"),
  version: z.literal(1),
  seed: z.int(),
  deployment: z.string(),
  durationMs: z.number(),
  phases: z.array(phaseSchema),
});

/** One request of a trace: one turn of a chat. */
export const traceRequestSchema = z.strictObject({
  atMs: z.number(),
  chat: z.int(),
  /** 1 for the first turn of the chat. */
  turn: z.int(),
  team: z.int(),
  /** Index of the kind of request in the deployment. */
  requestKind: z.int(),
  /** Prompt tokens from earlier turns and their responses. */
  prefixTokens: z.int(),
  promptTokens: z.int(),
  answerTokens: z.int(),
});

export type TracePhase = z.infer<typeof phaseSchema>;
export type TraceHead = z.infer<typeof traceHeadSchema>;
export type TraceRequest = z.infer<typeof traceRequestSchema>;

/** A recorded load: its head, and its requests ordered by time. */
export interface Trace {
  readonly head: TraceHead;
  readonly requests: readonly TraceRequest[];
}

/** Formats a trace as JSON lines, starting with the head. */
export function formatTrace(trace: Trace): string {
  const lines = [trace.head, ...trace.requests].map((line) =>
    JSON.stringify(line)
  );
  return `${lines.join("\n")}\n`;
}

/**
 * Parses the output of `formatTrace`.
 *
 * @throws ZodError for a line that does not match its schema.
 */
export function parseTrace(text: string): Trace {
  const [head, ...lines] = text.trimEnd().split("\n");
  return {
    head: traceHeadSchema.parse(JSON.parse(head ?? "null")),
    requests: lines.map((line) => traceRequestSchema.parse(JSON.parse(line))),
  };
}
