import type { KeyValueErrorKind } from "./key_value_error.ts";

/** Codes of errors that arise before any byte of a request is sent. */
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
 * Tells whether a failed request was certainly not sent. Anything unknown
 * counts as sent.
 */
export function classifyTransportError(
  error: unknown,
): Extract<KeyValueErrorKind, "unreachable" | "answer-lost"> {
  return isConnectError(error) ? "unreachable" : "answer-lost";
}

/** The fields that Node's errors carry beside their message. */
interface TransportError {
  readonly code?: string;
  readonly syscall?: string;
  /** The failures of several addresses of one name. */
  readonly errors?: readonly unknown[];
}

function isConnectError(error: unknown): boolean {
  if (typeof error !== "object" || error === null) return false;
  const { code, syscall, errors } = error as TransportError;
  if (errors && errors.length > 0) return errors.every(isConnectError);
  if (code === "ETIMEDOUT") return syscall === "connect";
  return code !== undefined && CONNECT_ERROR_CODES.has(code);
}
