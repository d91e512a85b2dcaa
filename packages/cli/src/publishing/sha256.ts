import { createHash } from "node:crypto";

/** The SHA-256 digest of UTF-8 text in lower case hex. */
export function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
