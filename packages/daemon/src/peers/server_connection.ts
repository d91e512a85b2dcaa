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
import type { PeerServerParts } from "./peer_server.ts";
import { ANSWER_METHOD } from "./traffic_counter.ts";

/** What a `ServerConnection` is built from. */
export interface ServerConnectionParts extends PeerServerParts {
  /** A fresh random nonce of that many bytes, as text. */
  readonly nonce: (sizeBytes: number) => string;
  readonly onAuthenticated: (connection: ServerConnection) => void;
}

interface OpenHandshake {
  readonly keyId: string;
  readonly handshake: Handshake;
}

/** One accepted connection: authenticates the dialer, then answers it. */
export class ServerConnection {
  readonly #socket: Socket;
  readonly #parts: ServerConnectionParts;
  readonly #splitter = new LineSplitter();
  readonly #writer: BatchWriter;
  readonly #cancelHandshakeTimeout: CancelTimer;
  #open: OpenHandshake | undefined;
  #peerVm: string | undefined;

  constructor(socket: Socket, parts: ServerConnectionParts) {
    this.#socket = socket;
    this.#parts = parts;
    this.#writer = new BatchWriter(socket);
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#receive(chunk));
    // The close event follows every error, so the error needs no handling.
    socket.on("error", () => {});
    socket.once("close", () => this.#ended());
    this.#cancelHandshakeTimeout = parts.timer.after(
      HANDSHAKE_TIMEOUT_MS,
      () => this.#fail("authentication-failed", "handshake timed out"),
    );
  }

  /** The authenticated VM at the other end, or undefined before. */
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
      return void this.#answer(request, this.#peerVm);
    }
    if (request.method === HELLO_METHOD) return this.#receiveHello(request);
    if (request.method === PROOF_METHOD) return this.#receiveProof(request);
    this.#fail("authentication-failed", "a call came before the handshake");
  }

  #receiveHello(request: JSONRPCRequest): void {
    const parsed = helloSchema.safeParse(request.params);
    if (!parsed.success) return this.#fail("malformed-line", "invalid hello");
    const [dialerVm, acceptorVm, dialerNonce, offeredIds] = parsed.data;
    const { vm, keyring } = this.#parts;
    if (acceptorVm !== vm) {
      return this.#refuse(request, `this is ${vm}, not ${acceptorVm}`);
    }
    const keyId = keyring.pick(offeredIds);
    if (keyId === undefined) return this.#refuse(request, "no key in common");
    const acceptorNonce = this.#parts.nonce(NONCE_BYTES);
    const handshake = { dialerVm, acceptorVm, dialerNonce, acceptorNonce };
    this.#open = { keyId, handshake };
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
    const open = this.#open;
    this.#open = undefined;
    if (!parsed.success || !open) {
      return this.#fail("authentication-failed", "no proof was due");
    }
    const { keyId, handshake } = open;
    const isValid = this.#parts.keyring.isProofValid(
      keyId,
      "dialer",
      handshake,
      parsed.data[0],
    );
    if (!isValid) return this.#refuse(request, "the proof is wrong");
    this.#cancelHandshakeTimeout();
    this.#peerVm = handshake.dialerVm;
    this.#send(createJSONRPCSuccessResponse(request.id ?? null, true));
    this.#parts.onAuthenticated(this);
    this.#report("connected", `key ${keyId}`);
  }

  async #answer(request: JSONRPCRequest, vm: string): Promise<void> {
    const response = await this.#parts.handlers.receive(request, { vm });
    if (response && request.id !== undefined) this.#send(response);
  }

  #countReceived(request: JSONRPCRequest, line: string): void {
    // Only known methods get a counter, so that a peer can't fill memory.
    const isKnown = this.#parts.handlers.has(request.method);
    const method = isKnown ? request.method : "(other)";
    this.#parts.traffic.countReceived(method, Buffer.byteLength(line) + 1);
  }

  #send(response: JSONRPCResponse): void {
    if (this.#socket.writableLength > MAX_UNDRAINED_BYTES) {
      return this.#fail("oversized-line", "the peer does not read its answers");
    }
    const line = `${JSON.stringify(response)}\n`;
    this.#parts.traffic.countSent(ANSWER_METHOD, Buffer.byteLength(line));
    this.#writer.write(line);
  }

  #refuse(request: JSONRPCRequest, message: string): void {
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

  #ended(): void {
    this.#cancelHandshakeTimeout();
    if (this.#peerVm !== undefined) this.#report("disconnected", "closed");
  }

  #report(kind: PeerEventKind, detail: string): void {
    const address = `${this.#socket.remoteAddress}:${this.#socket.remotePort}`;
    const peer = this.#peerVm ?? address;
    this.#parts.onEvent({ kind, direction: "in", peer, detail });
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
