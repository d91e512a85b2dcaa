import { connect, type Socket } from "node:net";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import {
  createJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { BatchWriter } from "./batch_writer.ts";
import {
  HELLO_METHOD,
  helloAnswerSchema,
  NONCE_BYTES,
  PROOF_METHOD,
} from "./handshake.ts";
import type { Handshake, Keyring } from "./keyring.ts";
import { LineSplitter } from "./line_splitter.ts";
import {
  CONNECT_TIMEOUT_MS,
  HANDSHAKE_TIMEOUT_MS,
  MAX_HANDSHAKE_LINE_BYTES,
  MAX_LINE_BYTES,
} from "./limits.ts";
import type { PeerEventKind } from "./peer_event.ts";
import { ANSWER_METHOD, type TrafficCounter } from "./traffic_counter.ts";

const HELLO_ID = 0;
const PROOF_ID = 1;

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Why a dialed socket ended. */
export interface SocketEnd {
  readonly kind: PeerEventKind;
  readonly detail: string;
}

/** What a `DialedSocket` is built from. */
export interface DialedSocketParts {
  /** Name of this daemon. */
  readonly vm: string;
  /** Name that the other end must prove to have. */
  readonly peerVm: string;
  readonly address: PeerAddress;
  readonly timer: TimerService;
  readonly keyring: Keyring;
  readonly traffic: TrafficCounter;
  readonly nonce: (sizeBytes: number) => string;
  readonly onReady: (keyId: string) => void;
  readonly onResponse: (response: JSONRPCResponse) => void;
  /** Called once, also where the socket was never ready. */
  readonly onEnd: (end: SocketEnd) => void;
}

/** One TCP connection to a peer, with its handshake. */
export class DialedSocket {
  readonly #parts: DialedSocketParts;
  readonly #socket: Socket;
  readonly #splitter = new LineSplitter();
  readonly #writer: BatchWriter;
  readonly #dialerNonce: string;
  #cancelTimeout: CancelTimer;
  #end: SocketEnd = { kind: "connect-failed", detail: "closed" };
  #step: "connect" | "hello" | "proof" | "ready" = "connect";
  #keyId = "";

  constructor(parts: DialedSocketParts) {
    this.#parts = parts;
    this.#dialerNonce = parts.nonce(NONCE_BYTES);
    this.#socket = connect({ ...parts.address, noDelay: true });
    this.#writer = new BatchWriter(this.#socket);
    parts.traffic.track(this.#socket);
    this.#socket.once("connect", () => this.#sendHello());
    this.#socket.on("data", (chunk) => this.#receive(chunk));
    this.#socket.on("error", (error) => this.#note(error.message));
    this.#socket.once("close", () => {
      this.#cancelTimeout();
      parts.onEnd(this.#end);
    });
    this.#cancelTimeout = parts.timer.after(
      CONNECT_TIMEOUT_MS,
      () => this.#fail("connect-failed", "connecting timed out"),
    );
  }

  /** Bytes received so far: a sign that the other end is there. */
  get receivedBytes(): number {
    return this.#socket.bytesRead;
  }

  /** Bytes that wait because the other end does not read. */
  get undrainedBytes(): number {
    return this.#socket.writableLength;
  }

  /** Queues a line; see `BatchWriter.write`. */
  write(line: string, onWritten?: () => void): void {
    this.#writer.write(line, onWritten);
  }

  /** Drops the connection for the reason in `detail`. */
  close(detail: string): void {
    this.#note(detail);
    this.#socket.destroy();
  }

  #sendHello(): void {
    const { vm, peerVm, keyring, timer } = this.#parts;
    this.#cancelTimeout();
    this.#cancelTimeout = timer.after(
      HANDSHAKE_TIMEOUT_MS,
      () => this.#fail("authentication-failed", "handshake timed out"),
    );
    this.#step = "hello";
    const params = [vm, peerVm, this.#dialerNonce, keyring.ids()];
    this.#sendRequest(HELLO_ID, HELLO_METHOD, params);
  }

  #receive(chunk: Buffer): void {
    const isReady = this.#step === "ready";
    const limitBytes = isReady ? MAX_LINE_BYTES : MAX_HANDSHAKE_LINE_BYTES;
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
    const response = parseResponse(line);
    if (!response) return this.#fail("malformed-line", "not a response");
    const sizeBytes = Buffer.byteLength(line) + 1;
    this.#parts.traffic.countReceived(ANSWER_METHOD, sizeBytes);
    if (this.#step === "ready") return this.#parts.onResponse(response);
    if (response.error) {
      return this.#fail("authentication-failed", response.error.message);
    }
    if (this.#step === "hello") return this.#receiveHelloAnswer(response);
    this.#becomeReady();
  }

  #receiveHelloAnswer(response: JSONRPCResponse): void {
    const parsed = helloAnswerSchema.safeParse(response.result);
    if (!parsed.success) {
      return this.#fail("malformed-line", "invalid answer to hello");
    }
    const [keyId, acceptorNonce, acceptorProof] = parsed.data;
    const { vm, peerVm, keyring } = this.#parts;
    const handshake: Handshake = {
      dialerVm: vm,
      acceptorVm: peerVm,
      dialerNonce: this.#dialerNonce,
      acceptorNonce,
    };
    if (!keyring.isProofValid(keyId, "acceptor", handshake, acceptorProof)) {
      return this.#fail("authentication-failed", "the proof is wrong");
    }
    this.#keyId = keyId;
    this.#step = "proof";
    const proof = keyring.prove(keyId, "dialer", handshake);
    this.#sendRequest(PROOF_ID, PROOF_METHOD, [proof]);
  }

  #becomeReady(): void {
    this.#step = "ready";
    this.#end = { kind: "disconnected", detail: "closed" };
    this.#cancelTimeout();
    this.#parts.onReady(this.#keyId);
  }

  #sendRequest(id: number, method: string, params: unknown): void {
    const request = createJSONRPCRequest(id, method, params);
    const line = `${JSON.stringify(request)}\n`;
    this.#parts.traffic.countSent(method, Buffer.byteLength(line));
    this.#writer.write(line);
  }

  #note(detail: string): void {
    this.#end = { kind: this.#end.kind, detail };
  }

  #fail(kind: PeerEventKind, detail: string): void {
    this.#end = { kind, detail };
    this.#socket.destroy();
  }
}

function parseResponse(line: string): JSONRPCResponse | undefined {
  try {
    const payload: unknown = JSON.parse(line);
    return isJSONRPCResponse(payload) ? payload : undefined;
  } catch {
    return undefined;
  }
}
