import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";

const MIN_SECRET_HEX_DIGITS = 32;

/** A key that the daemons of a fleet share. */
export const peerKeySchema = z.strictObject({
  id: z.string().min(1).max(32),
  secretHex: z.string().min(MIN_SECRET_HEX_DIGITS).max(256).regex(
    /^([0-9a-f]{2})+$/,
    "use an even number of lower case hex digits, at least 32",
  ),
});

/** A key that the daemons of a fleet share. */
export type PeerKey = z.infer<typeof peerKeySchema>;

/** The names and nonces of both ends of a connection; a proof covers all. */
export interface Handshake {
  readonly dialerVm: string;
  readonly acceptorVm: string;
  readonly dialerNonce: string;
  readonly acceptorNonce: string;
}

/** The end of the connection that provides a proof. */
export type HandshakeSide = "dialer" | "acceptor";

/**
 * The valid shared keys. Several keys are valid at the same time, so that a new
 * key can be added everywhere before the old one is removed. The first key is
 * preferred.
 */
export class Keyring {
  #secrets = new Map<string, Buffer>();

  constructor(keys: readonly PeerKey[]) {
    this.replace(keys);
  }

  /** Replaces the valid keys; open connections are not affected. */
  replace(keys: readonly PeerKey[]): void {
    this.#secrets = new Map(
      keys.map((key) => [key.id, Buffer.from(key.secretHex, "hex")]),
    );
  }

  /** Ids of the valid keys, the preferred one first. */
  ids(): string[] {
    return [...this.#secrets.keys()];
  }

  /** The first of `offeredIds` that is valid in this keyring. */
  selectKeyId(offeredIds: readonly string[]): string | undefined {
    return offeredIds.find((id) => this.#secrets.has(id));
  }

  /** The HMAC-SHA256 proof of one side in base64url, if the key is valid. */
  prove(
    keyId: string,
    side: HandshakeSide,
    handshake: Handshake,
  ): string | undefined {
    const secret = this.#secrets.get(keyId);
    if (!secret) return undefined;
    // JSON separates the fields unambiguously, whatever characters they hold.
    const text = JSON.stringify([
      side,
      keyId,
      handshake.dialerVm,
      handshake.acceptorVm,
      handshake.dialerNonce,
      handshake.acceptorNonce,
    ]);
    return createHmac("sha256", secret).update(text).digest("base64url");
  }

  /** Checks in constant time whether `proof` is the valid proof of `side`. */
  isProofValid(
    keyId: string,
    side: HandshakeSide,
    handshake: Handshake,
    proof: string,
  ): boolean {
    const expected = this.prove(keyId, side, handshake);
    if (expected === undefined) return false;
    const left = Buffer.from(expected);
    const right = Buffer.from(proof);
    return left.length === right.length && timingSafeEqual(left, right);
  }
}
