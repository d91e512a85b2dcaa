import type { Socket } from "node:net";
import type { CancelTimer } from "@coltsfootford/core";
import {
  createJSONRPCErrorResponse,
  createJSONRPCSuccessResponse,
  isJSONRPCRequest,
  JSONRPCErrorCode,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { BatchWriter } from "./batch_writer.ts";
import {
  HELLO_METHOD,
  helloSchema,
  NONCE_BYTES,
  PROOF_METHOD,
  proofParamsSchema,
} from "./handshake.ts";
import type { Handshake } from "./keyring.ts";
import { LineSplitter } from "./line_splitter.ts";
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_HANDSHAKE_LINE_BYTES,
  MAX_LINE_BYTES,
  MAX_UNDRAINED_BYTES,
} from "./limits.ts";
import type { PeerEventKind } from "./peer_event.ts";
import type { PeerServerDependencies } from "./peer_server.ts";
import { RESPONSE_METHOD } from "./traffic_counter.ts";

/** The dependencies of a `ServerConnection`. */
export interface ServerConnectionDependencies extends PeerServerDependencies {
  /** Creates a random nonce of `sizeBytes` bytes, encoded as text. */
  readonly nonce: (sizeBytes: number) => string;
  readonly onAuthenticated: (connection: ServerConnection) => void;
}

interface PendingHandshake {
  readonly keyId: string;
  readonly handshake: Handshake;
}

/** An accepted connection: authenticates the dialer, then serves its calls. */
export class ServerConnection {
  readonly #socket: Socket;
  readonly #dependencies: ServerConnectionDependencies;
  readonly #splitter = new LineSplitter();
  readonly #writer: BatchWriter;
  readonly #cancelHandshakeTimeout: CancelTimer;
  #pendingHandshake: PendingHandshake | undefined;
  #peerVm: string | undefined;

  constructor(socket: Socket, dependencies: ServerConnectionDependencies) {
    this.#socket = socket;
    this.#dependencies = dependencies;
    this.#writer = new BatchWriter(socket);
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#receive(chunk));
    // The close event follows every error, so the error itself is ignored.
    socket.on("error", () => {});
    socket.once("close", () => this.#onClose());
    this.#cancelHandshakeTimeout = dependencies.timer.after(
      HANDSHAKE_TIMEOUT_MS,
      () => this.#fail("authentication-failed", "handshake timed out"),
    );
  }

  /** The VM at the other end, or undefined before it is authenticated. */
  get peerVm(): string | undefined {
    return this.#peerVm;
  }

  /** Drops the connection. */
  close(): void {
    this.#socket.destroy();
  }

  #receive(chunk: Buffer): void {
    const limitBytes = this.#peerVm === undefined
      ? MAX_HANDSHAKE_LINE_BYTES
      : MAX_LINE_BYTES;
    const split = this.#splitter.push(chunk, limitBytes);
    if (split.kind === "oversized") {
      return this.#fail("oversized-line", `more than ${limitBytes} bytes`);
    }
    for (const line of split.lines) {
      if (this.#socket.destroyed) return;
      this.#receiveLine(line);
    }
  }

  #receiveLine(line: string): void {
    const request = parseRequest(line);
    if (!request) return this.#fail("malformed-line", "not a JSON-RPC request");
    this.#countReceived(request, line);
    if (this.#peerVm !== undefined) {
      return void this.#handleRequest(request, this.#peerVm);
    }
    if (request.method === HELLO_METHOD) return this.#receiveHello(request);
    if (request.method === PROOF_METHOD) return this.#receiveProof(request);
    this.#fail("authentication-failed", "request before the handshake");
  }

  #receiveHello(request: JSONRPCRequest): void {
    const parsed = helloSchema.safeParse(request.params);
    if (!parsed.success) return this.#fail("malformed-line", "invalid hello");
    const [dialerVm, acceptorVm, dialerNonce, offeredIds] = parsed.data;
    const { vm, keyring } = this.#dependencies;
    if (acceptorVm !== vm) {
      return this.#reject(request, `this is ${vm}, not ${acceptorVm}`);
    }
    const keyId = keyring.selectKeyId(offeredIds);
    if (keyId === undefined) return this.#reject(request, "no key in common");
    const acceptorNonce = this.#dependencies.nonce(NONCE_BYTES);
    const handshake = { dialerVm, acceptorVm, dialerNonce, acceptorNonce };
    this.#pendingHandshake = { keyId, handshake };
    const proof = keyring.prove(keyId, "acceptor", handshake);
    this.#send(
      createJSONRPCSuccessResponse(request.id ?? null, [
        keyId,
        acceptorNonce,
        proof,
      ]),
    );
  }

  #receiveProof(request: JSONRPCRequest): void {
    const parsed = proofParamsSchema.safeParse(request.params);
    const pending = this.#pendingHandshake;
    this.#pendingHandshake = undefined;
    if (!parsed.success || !pending) {
      return this.#fail("authentication-failed", "unexpected proof");
    }
    const { keyId, handshake } = pending;
    const isValid = this.#dependencies.keyring.isProofValid(
      keyId,
      "dialer",
      handshake,
      parsed.data[0],
    );
    if (!isValid) return this.#reject(request, "invalid proof");
    this.#cancelHandshakeTimeout();
    this.#peerVm = handshake.dialerVm;
    this.#send(createJSONRPCSuccessResponse(request.id ?? null, true));
    this.#dependencies.onAuthenticated(this);
    this.#report("connected", `key ${keyId}`);
  }

  async #handleRequest(request: JSONRPCRequest, vm: string): Promise<void> {
    const response = await this.#dependencies.handlers.receive(request, { vm });
    if (response && request.id !== undefined) this.#send(response);
  }

  #countReceived(request: JSONRPCRequest, line: string): void {
    // Only known methods have a counter of their own, so that a peer can't
    // exhaust the memory with invented method names.
    const isKnown = this.#dependencies.handlers.has(request.method);
    const method = isKnown ? request.method : "(other)";
    this.#dependencies.traffic.countReceived(
      method,
      Buffer.byteLength(line) + 1,
    );
  }

  #send(response: JSONRPCResponse): void {
    if (this.#socket.writableLength > MAX_UNDRAINED_BYTES) {
      return this.#fail(
        "oversized-line",
        "the peer does not read its responses",
      );
    }
    const line = `${JSON.stringify(response)}\n`;
    this.#dependencies.traffic.countSent(
      RESPONSE_METHOD,
      Buffer.byteLength(line),
    );
    this.#writer.write(line);
  }

  #reject(request: JSONRPCRequest, message: string): void {
    this.#send(
      createJSONRPCErrorResponse(
        request.id ?? null,
        JSONRPCErrorCode.InvalidRequest,
        message,
      ),
    );
    this.#writer.flush();
    this.#socket.end();
    this.#report("authentication-failed", message);
  }

  #fail(kind: PeerEventKind, detail: string): void {
    this.#report(kind, detail);
    this.close();
  }

  #onClose(): void {
    this.#cancelHandshakeTimeout();
    if (this.#peerVm !== undefined) this.#report("disconnected", "closed");
  }

  #report(kind: PeerEventKind, detail: string): void {
    const address = `${this.#socket.remoteAddress}:${this.#socket.remotePort}`;
    const peer = this.#peerVm ?? address;
    this.#dependencies.onEvent({ kind, direction: "in", peer, detail });
  }
}

function parseRequest(line: string): JSONRPCRequest | undefined {
  try {
    const payload: unknown = JSON.parse(line);
    if (!isJSONRPCRequest(payload)) return undefined;
    return typeof payload.method === "string" ? payload : undefined;
  } catch {
    return undefined;
  }
}
