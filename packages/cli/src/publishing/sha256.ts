import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of UTF-8 text in lowercase hex. */
export function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
