import { createHash } from "node:crypto";
import { type BodyBytes, bodyPieces } from "../buffering/index.ts";
import type { RequestContext } from "../entry/request_context.ts";

/** Hex digits of a request digest: 128 bits. */
const DIGEST_HEX_DIGITS = 32;

/** What identifies a request that may crash targets. */
export interface RequestIdentity {
  /** The digest of the whole request. */
  readonly digest: string;
  /** Digests of the messages that other chats may share. */
  readonly messages: readonly string[];
}

export function identifyRequest(context: RequestContext): RequestIdentity {
  return { digest: digestRequest(context), messages: context.sharedMessages };
}

/** The digest of a request as sent to a target; identical on every daemon. */
export function digestRequest(context: RequestContext): string {
  const { route, method, path, body } = context;
  return digestContent(`${route.name}\n${method}\n${path}\n`, body);
}

/** The digest of a request's head and body. */
export function digestContent(head: string, body: BodyBytes): string {
  const hash = createHash("sha256").update(head);
  for (const piece of bodyPieces(body)) hash.update(piece);
  return hash.digest("hex").slice(0, DIGEST_HEX_DIGITS);
}
