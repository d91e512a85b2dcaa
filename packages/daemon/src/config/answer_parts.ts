import {
  MAX_ANSWER_BYTES,
  type PartAnswer,
  type PartRequest,
} from "./config_messages.ts";

/**
 * Answers a daemon that asks for parts. What is not held, or would make the
 * answer too long, is left out; at least one held part is always given.
 */
export function answerParts(
  request: PartRequest,
  findPart: (digest: string) => string | undefined,
): PartAnswer {
  const parts: Record<string, string> = {};
  let sizeBytes = 0;
  for (const digest of request.digests) {
    const text = findPart(digest);
    if (text === undefined) continue;
    sizeBytes += Buffer.byteLength(text);
    if (sizeBytes > MAX_ANSWER_BYTES && Object.keys(parts).length > 0) break;
    parts[digest] = text;
  }
  return { parts };
}
