import { z } from "zod";

/**
 * The first two calls on a connection. The dialer sends `hi` and the acceptor
 * responds with a proof of the key; the dialer verifies the proof and sends its
 * own proof with `me`. All other calls are rejected until then.
 */

/** Method that opens the handshake. */
export const HELLO_METHOD = "hi";
/** Method that carries the dialer's proof. */
export const PROOF_METHOD = "me";
/** Random bytes in a nonce. */
export const NONCE_BYTES = 16;

const nonceSchema = z.string().min(22).max(44);
const proofSchema = z.string().min(43).max(44);
const vmSchema = z.string().min(1).max(128);

/** Parameters of `hi`: dialer, acceptor, nonce, ids of the valid keys. */
export const helloSchema = z.tuple([
  vmSchema,
  vmSchema,
  nonceSchema,
  z.array(z.string().min(1).max(32)).min(1).max(8),
]);

/** Response to `hi`: id of the selected key, nonce, the acceptor's proof. */
export const helloResponseSchema = z.tuple([
  z.string().min(1).max(32),
  nonceSchema,
  proofSchema,
]);

/** Parameters of `me`: the dialer's proof. */
export const proofParamsSchema = z.tuple([proofSchema]);
