import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { z } from "zod";
import { DEFAULT_CALL_TIMEOUT_MS } from "./limits.ts";
import {
  type PeerAddress,
  PeerConnection,
  type PeerConnectionDependencies,
} from "./peer_connection.ts";
import { createPeerError, type PeerError } from "./peer_error.ts";

/** Options of a call. */
export interface CallOptions {
  readonly timeoutMs?: number;
}

/** The outgoing connections, one for each peer with a known address. */
export class PeerPool {
  readonly #dependencies: PeerConnectionDependencies;
  readonly #connections = new Map<string, PeerConnection>();

  constructor(dependencies: PeerConnectionDependencies) {
    this.#dependencies = dependencies;
  }

  /** Adds a peer, or changes its address. */
  setPeer(vm: string, address: PeerAddress): void {
    const existing = this.#connections.get(vm);
    const isSame = existing?.address.host === address.host &&
      existing.address.port === address.port;
    if (isSame) return;
    existing?.close("the address of the peer changed");
    this.#connections.set(
      vm,
      new PeerConnection(vm, address, this.#dependencies),
    );
  }

  /** Removes a peer and drops the connection to it. */
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

  /** Drops the connection to `vm`; the next message opens another. */
  reset(vm: string, detail: string): void {
    this.#connections.get(vm)?.reset(detail);
  }

  /** Sends a notification, which has no response and may be lost. */
  notify(vm: string, method: string, params: unknown): void {
    this.#connections.get(vm)?.notify(method, params);
  }

  /** Sends a request and validates the response against `responseSchema`. */
  async call<Response>(
    vm: string,
    method: string,
    params: unknown,
    responseSchema: z.ZodType<Response>,
    options: CallOptions = {},
  ): Promise<Result<Response, PeerError>> {
    const connection = this.#connections.get(vm);
    if (!connection) {
      const message = "the address of the peer is unknown";
      return err(createPeerError("not-sent", vm, method, message));
    }
    const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    const response = await connection.call(method, params, timeoutMs);
    if (response.isErr()) return err(response.error);
    const parsed = responseSchema.safeParse(response.value);
    if (parsed.success) return ok(parsed.data);
    const message = "the response does not match its schema";
    return err(createPeerError("refused", vm, method, message, parsed.error));
  }

  /** Drops every connection permanently. */
  close(): void {
    for (const vm of this.names()) this.removePeer(vm);
  }
}
