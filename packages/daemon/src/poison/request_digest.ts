import { createHash } from "node:crypto";
import type { RequestContext } from "../entry/request_context.ts";

/** Hex digits of a request digest: 128 bits. */
const DIGEST_CHARS = 32;

/** The digest of what a target is given, the same through every daemon. */
export function digestRequest(context: RequestContext): string {
  return createHash("sha256")
    .update(`${context.route.name}\n${context.method}\n${context.path}\n`)
    .update(context.body)
    .digest("hex")
    .slice(0, DIGEST_CHARS);
}
