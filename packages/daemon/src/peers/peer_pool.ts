import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { z } from "zod";
import { DEFAULT_CALL_TIMEOUT_MS } from "./limits.ts";
import {
  type PeerAddress,
  PeerConnection,
  type PeerConnectionParts,
} from "./peer_connection.ts";
import { createPeerError, type PeerError } from "./peer_error.ts";

/** Options of a call. */
export interface CallOptions {
  readonly timeoutMs?: number;
}

/** The outgoing connections, one for each peer that is known by address. */
export class PeerPool {
  readonly #parts: PeerConnectionParts;
  readonly #connections = new Map<string, PeerConnection>();

  constructor(parts: PeerConnectionParts) {
    this.#parts = parts;
  }

  /** Makes a peer known, or moves it to another address. */
  setPeer(vm: string, address: PeerAddress): void {
    const known = this.#connections.get(vm);
    const isSame = known?.address.host === address.host &&
      known.address.port === address.port;
    if (isSame) return;
    known?.close("the peer moved to another address");
    this.#connections.set(vm, new PeerConnection(vm, address, this.#parts));
  }

  /** Forgets a peer and drops the connection to it. */
  removePeer(vm: string): void {
    this.#connections.get(vm)?.close("the peer was removed");
    this.#connections.delete(vm);
  }

  /** Names of the known peers. */
  names(): string[] {
    return [...this.#connections.keys()];
  }

  /** Names of the peers to which an authenticated connection is open. */
  connectedNames(): string[] {
    return this.names().filter((vm) => this.#connections.get(vm)?.isReady);
  }

  /** Drops the connection to `vm`; the next message opens it again. */
  reset(vm: string, detail: string): void {
    this.#connections.get(vm)?.reset(detail);
  }

  /** Sends a message without an answer. It may be lost. */
  notify(vm: string, method: string, params: unknown): void {
    this.#connections.get(vm)?.notify(method, params);
  }

  /** Sends a request; the answer is checked by `answerSchema`. */
  async call<Answer>(
    vm: string,
    method: string,
    params: unknown,
    answerSchema: z.ZodType<Answer>,
    options: CallOptions = {},
  ): Promise<Result<Answer, PeerError>> {
    const connection = this.#connections.get(vm);
    if (!connection) {
      const message = "the address of the peer is not known";
      return err(createPeerError("not-sent", vm, method, message));
    }
    const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    const answer = await connection.call(method, params, timeoutMs);
    if (answer.isErr()) return err(answer.error);
    const parsed = answerSchema.safeParse(answer.value);
    if (parsed.success) return ok(parsed.data);
    const message = "the answer has the wrong shape";
    return err(createPeerError("refused", vm, method, message, parsed.error));
  }

  /** Drops every connection for good. */
  close(): void {
    for (const vm of this.names()) this.removePeer(vm);
  }
}
