import { createStepError, type StepError } from "@coltsfootford/core";

/**
 * How a call to the key-value service failed. The kind states whether a write
 * was applied:
 *
 * - `unreachable`: the call was never sent, so it was not applied.
 * - `rejected`: the service rejected the call, so it was not applied.
 * - `answer-lost`: the call was sent and no usable response was received, so it
 *   may or may not have been applied; read the key back to find out.
 */
export type KeyValueErrorKind = "unreachable" | "rejected" | "answer-lost";

/** A failed call to the key-value service. */
export type KeyValueError = StepError<KeyValueErrorKind>;

/** Whether the failed write certainly had no effect. */
export function isCertainlyNotApplied(error: KeyValueError): boolean {
  return error.kind !== "answer-lost";
}

/** Creates a `KeyValueError`. */
export function createKeyValueError(
  kind: KeyValueErrorKind,
  step: string,
  peer: string,
  cause: unknown,
): KeyValueError {
  return createStepError(kind, step, describe(kind), { peer, cause });
}

function describe(kind: KeyValueErrorKind): string {
  if (kind === "unreachable") {
    return "the key-value service can't be reached; check its address and state";
  }
  if (kind === "rejected") return "the key-value service rejected the call";
  return "the key-value service sent no usable response";
}
