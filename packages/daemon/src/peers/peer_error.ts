import { createStepError, type StepError } from "@coltsfootford/core";

/**
 * How far a failed call got. `not-sent`: no byte of the request left this
 * process. `maybe-sent`: the peer may have handled the request. `refused`: the
 * peer returned an error, or a response that does not match its schema.
 */
export type PeerErrorKind = "not-sent" | "maybe-sent" | "refused";

/** A failed call to a peer. */
export type PeerError = StepError<PeerErrorKind>;

/** Creates the error of a failed call of `method` to `vm`. */
export function createPeerError(
  kind: PeerErrorKind,
  vm: string,
  method: string,
  message: string,
  cause?: unknown,
): PeerError {
  return createStepError(kind, `peer.call.${method}`, message, {
    peer: vm,
    cause,
  });
}
