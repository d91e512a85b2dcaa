import { createStepError, type StepError } from "@coltsfootford/core";

/**
 * What is known of a failed call. `not-sent`: no byte of the request left
 * this process. `maybe-sent`: the peer may have handled it. `refused`: the
 * peer answered with an error, or with an answer of the wrong shape.
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
