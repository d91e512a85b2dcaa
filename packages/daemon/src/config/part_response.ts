import {
  MAX_RESPONSE_BYTES,
  type PartRequest,
  type PartResponse,
} from "./config_messages.ts";

/**
 * Creates the response to a request for parts. Parts that this daemon does not
 * have, or that exceed the size limit, are omitted. At least one available part
 * is always included.
 */
export function createPartResponse(
  request: PartRequest,
  findPart: (digest: string) => string | undefined,
): PartResponse {
  const parts: Record<string, string> = {};
  let sizeBytes = 0;
  for (const digest of request.digests) {
    const text = findPart(digest);
    if (text === undefined) continue;
    sizeBytes += Buffer.byteLength(text);
    if (sizeBytes > MAX_RESPONSE_BYTES && Object.keys(parts).length > 0) break;
    parts[digest] = text;
  }
  return { parts };
}
