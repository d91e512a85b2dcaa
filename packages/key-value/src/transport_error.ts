import type { KeyValueErrorKind } from "./key_value_error.ts";

/** Error codes that occur before any byte of a request is sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Classifies a failed request as `unreachable` if it was certainly not sent.
 * An unknown error counts as sent.
 */
export function classifyTransportError(
  error: unknown,
): Extract<KeyValueErrorKind, "unreachable" | "answer-lost"> {
  return isConnectError(error) ? "unreachable" : "answer-lost";
}

/** The fields of a Node.js system error besides its message. */
interface TransportError {
  readonly code?: string;
  readonly syscall?: string;
  /** The errors of each address if a name resolves to several. */
  readonly errors?: readonly unknown[];
}

function isConnectError(error: unknown): boolean {
  if (typeof error !== "object" || error === null) return false;
  const { code, syscall, errors } = error as TransportError;
  if (errors && errors.length > 0) return errors.every(isConnectError);
  if (code === "ETIMEDOUT") return syscall === "connect";
  return code !== undefined && CONNECT_ERROR_CODES.has(code);
}
