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
  helloResponseSchema,
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
import { RESPONSE_METHOD, type TrafficCounter } from "./traffic_counter.ts";

const HELLO_ID = 0;
const PROOF_ID = 1;

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** The event that reports why a dialed socket closed. */
export interface SocketCloseReason {
  readonly kind: PeerEventKind;
  readonly detail: string;
}

/** The dependencies of a `DialedSocket`. */
export interface DialedSocketDependencies {
  /** Name of this daemon. */
  readonly vm: string;
  /** Name that the peer must prove in the handshake. */
  readonly peerVm: string;
  readonly address: PeerAddress;
  readonly timer: TimerService;
  readonly keyring: Keyring;
  readonly traffic: TrafficCounter;
  readonly nonce: (sizeBytes: number) => string;
  readonly onReady: (keyId: string) => void;
  readonly onResponse: (response: JSONRPCResponse) => void;
  /** Called once, even if the socket never became ready. */
  readonly onClose: (reason: SocketCloseReason) => void;
}

/** One TCP connection to a peer, with its handshake. */
export class DialedSocket {
  readonly #dependencies: DialedSocketDependencies;
  readonly #socket: Socket;
  readonly #splitter = new LineSplitter();
  readonly #writer: BatchWriter;
  readonly #dialerNonce: string;
  #cancelTimeout: CancelTimer;
  #closeReason: SocketCloseReason = {
    kind: "connect-failed",
    detail: "closed",
  };
  #step: "connect" | "hello" | "proof" | "ready" = "connect";
  #keyId = "";

  constructor(dependencies: DialedSocketDependencies) {
    this.#dependencies = dependencies;
    this.#dialerNonce = dependencies.nonce(NONCE_BYTES);
    this.#socket = connect({ ...dependencies.address, noDelay: true });
    this.#writer = new BatchWriter(this.#socket);
    dependencies.traffic.track(this.#socket);
    this.#socket.once("connect", () => this.#sendHello());
    this.#socket.on("data", (chunk) => this.#receive(chunk));
    this.#socket.on("error", (error) => this.#recordDetail(error.message));
    this.#socket.once("close", () => {
      this.#cancelTimeout();
      dependencies.onClose(this.#closeReason);
    });
    this.#cancelTimeout = dependencies.timer.after(
      CONNECT_TIMEOUT_MS,
      () => this.#fail("connect-failed", "connecting timed out"),
    );
  }

  /** Bytes received so far; growth shows that the peer is alive. */
  get receivedBytes(): number {
    return this.#socket.bytesRead;
  }

  /** Bytes buffered because the peer does not read them. */
  get undrainedBytes(): number {
    return this.#socket.writableLength;
  }

  /** Queues a line; see `BatchWriter.write`. */
  write(line: string, onWritten?: () => void): void {
    this.#writer.write(line, onWritten);
  }

  /** Drops the connection and records `detail` as the reason. */
  close(detail: string): void {
    this.#recordDetail(detail);
    this.#socket.destroy();
  }

  #sendHello(): void {
    const { vm, peerVm, keyring, timer } = this.#dependencies;
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
    this.#dependencies.traffic.countReceived(RESPONSE_METHOD, sizeBytes);
    if (this.#step === "ready") return this.#dependencies.onResponse(response);
    if (response.error) {
      return this.#fail("authentication-failed", response.error.message);
    }
    if (this.#step === "hello") return this.#receiveHelloResponse(response);
    this.#becomeReady();
  }

  #receiveHelloResponse(response: JSONRPCResponse): void {
    const parsed = helloResponseSchema.safeParse(response.result);
    if (!parsed.success) {
      return this.#fail("malformed-line", "invalid response to hello");
    }
    const [keyId, acceptorNonce, acceptorProof] = parsed.data;
    const { vm, peerVm, keyring } = this.#dependencies;
    const handshake: Handshake = {
      dialerVm: vm,
      acceptorVm: peerVm,
      dialerNonce: this.#dialerNonce,
      acceptorNonce,
    };
    if (!keyring.isProofValid(keyId, "acceptor", handshake, acceptorProof)) {
      return this.#fail("authentication-failed", "invalid proof");
    }
    this.#keyId = keyId;
    this.#step = "proof";
    const proof = keyring.prove(keyId, "dialer", handshake);
    this.#sendRequest(PROOF_ID, PROOF_METHOD, [proof]);
  }

  #becomeReady(): void {
    this.#step = "ready";
    this.#closeReason = { kind: "disconnected", detail: "closed" };
    this.#cancelTimeout();
    this.#dependencies.onReady(this.#keyId);
  }

  #sendRequest(id: number, method: string, params: unknown): void {
    const request = createJSONRPCRequest(id, method, params);
    const line = `${JSON.stringify(request)}\n`;
    this.#dependencies.traffic.countSent(method, Buffer.byteLength(line));
    this.#writer.write(line);
  }

  #recordDetail(detail: string): void {
    this.#closeReason = { kind: this.#closeReason.kind, detail };
  }

  #fail(kind: PeerEventKind, detail: string): void {
    this.#closeReason = { kind, detail };
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
