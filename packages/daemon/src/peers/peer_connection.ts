import { randomBytes } from "node:crypto";
import type { CancelTimer, TimerService } from "@coltsfootford/core";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  JSONRPCErrorCode,
  type JSONRPCRequest,
} from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { DialedSocket, type PeerAddress } from "./dialed_socket.ts";
import type { Keyring } from "./keyring.ts";
import {
  MAX_BACKOFF_MS,
  MAX_QUEUED_BYTES,
  MAX_UNDRAINED_BYTES,
  MIN_BACKOFF_MS,
} from "./limits.ts";
import { createPeerError, type PeerError } from "./peer_error.ts";
import type { PeerEventListener } from "./peer_event.ts";
import type { TrafficCounter } from "./traffic_counter.ts";

export type { PeerAddress } from "./dialed_socket.ts";

/** The dependencies that all connections to peers share. */
export interface PeerConnectionDependencies {
  /** Name of this daemon. */
  readonly vm: string;
  readonly timer: TimerService;
  readonly keyring: Keyring;
  readonly traffic: TrafficCounter;
  readonly onEvent: PeerEventListener;
}

interface PendingCall {
  readonly method: string;
  /**
   * Bytes received on the socket when the request was written, or undefined
   * before that.
   */
  sentAtReceivedBytes: number | undefined;
  failure: PeerError | undefined;
}

interface QueuedLine {
  readonly line: string;
  readonly sizeBytes: number;
  readonly method: string;
  readonly callId: number | undefined;
}

/**
 * The outgoing connection to one peer. It connects when a message has to be
 * sent, backs off exponentially after failed connection attempts, and reports
 * for every failed call whether the call may have reached the peer.
 */
export class PeerConnection {
  readonly #dependencies: PeerConnectionDependencies;
  readonly #peerVm: string;
  readonly #address: PeerAddress;
  readonly #client: JSONRPCClient;
  readonly #calls = new Map<number, PendingCall>();
  #queue: QueuedLine[] = [];
  #queuedBytes = 0;
  #socket: DialedSocket | undefined;
  #isReady = false;
  #isClosed = false;
  #failedAttempts = 0;
  #nextAttemptMs = 0;
  #nextCallId = 1;

  constructor(
    peerVm: string,
    address: PeerAddress,
    dependencies: PeerConnectionDependencies,
  ) {
    this.#dependencies = dependencies;
    this.#peerVm = peerVm;
    this.#address = address;
    this.#client = new JSONRPCClient((request) => this.#send(request));
  }

  /** Where the peer listens. */
  get address(): PeerAddress {
    return this.#address;
  }

  /** Whether an authenticated connection is open. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** Sends a notification, which is lost if the peer can't be reached. */
  notify(method: string, params: unknown): void {
    if (this.#rejectionReason() !== undefined) return;
    this.#client.notify(method, params);
  }

  /** Sends a request and waits at most `timeoutMs` for its response. */
  async call(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const reason = this.#rejectionReason();
    if (reason !== undefined) {
      return err(createPeerError("not-sent", this.#peerVm, method, reason));
    }
    const id = this.#nextCallId++;
    const call: PendingCall = {
      method,
      sentAtReceivedBytes: undefined,
      failure: undefined,
    };
    this.#calls.set(id, call);
    const cancel = this.#startTimeout(id, timeoutMs);
    const request: JSONRPCRequest = { jsonrpc: "2.0", id, method, params };
    const response = await this.#client.requestAdvanced(request);
    cancel();
    this.#calls.delete(id);
    if (call.failure) return err(call.failure);
    if (!response.error) return ok(response.result);
    const message = response.error.message;
    return err(createPeerError("refused", this.#peerVm, method, message));
  }

  /** Drops the connection; the next message opens another. */
  reset(detail: string): void {
    this.#socket?.close(detail);
  }

  /** Drops the connection permanently and fails all pending calls. */
  close(detail: string): void {
    this.#isClosed = true;
    this.#socket?.close(detail);
    this.#failAll(detail);
  }

  #rejectionReason(): string | undefined {
    if (this.#isClosed) return "the connection is closed";
    if (this.#socket) {
      const isStuck = this.#socket.undrainedBytes > MAX_UNDRAINED_BYTES;
      return isStuck ? "the peer does not read" : undefined;
    }
    const waitMs = this.#nextAttemptMs - this.#dependencies.timer.nowMs();
    if (waitMs <= 0) return undefined;
    return `the peer can't be reached; next attempt in ${Math.ceil(waitMs)} ms`;
  }

  #send(request: JSONRPCRequest): void {
    const line = `${JSON.stringify(request)}\n`;
    const entry: QueuedLine = {
      line,
      sizeBytes: Buffer.byteLength(line),
      method: request.method,
      callId: typeof request.id === "number" ? request.id : undefined,
    };
    if (this.#isReady) return this.#write(entry);
    if (this.#queuedBytes + entry.sizeBytes > MAX_QUEUED_BYTES) {
      return this.#failCall(
        entry.callId,
        "the queue for the connection is full",
      );
    }
    this.#queue.push(entry);
    this.#queuedBytes += entry.sizeBytes;
    this.#connect();
  }

  #write(entry: QueuedLine): void {
    const socket = this.#socket;
    if (!socket) return this.#failCall(entry.callId, "the connection closed");
    socket.write(entry.line, () => {
      this.#dependencies.traffic.countSent(entry.method, entry.sizeBytes);
      if (entry.callId === undefined) return;
      const call = this.#calls.get(entry.callId);
      if (call) call.sentAtReceivedBytes = socket.receivedBytes;
    });
  }

  #connect(): void {
    if (this.#socket) return;
    this.#socket = new DialedSocket({
      ...this.#dependencies,
      peerVm: this.#peerVm,
      address: this.#address,
      nonce: (sizeBytes) => randomBytes(sizeBytes).toString("base64url"),
      onReady: (keyId) => this.#becomeReady(keyId),
      onResponse: (response) => this.#client.receive(response),
      onClose: (reason) => {
        this.#report(reason.kind, reason.detail);
        this.#onSocketClose(reason.detail);
      },
    });
  }

  #becomeReady(keyId: string): void {
    this.#isReady = true;
    this.#failedAttempts = 0;
    const queue = this.#queue;
    this.#queue = [];
    this.#queuedBytes = 0;
    for (const entry of queue) this.#write(entry);
    this.#report("connected", `key ${keyId}`);
  }

  #onSocketClose(detail: string): void {
    const wasReady = this.#isReady;
    this.#socket = undefined;
    this.#isReady = false;
    if (!wasReady) this.#failedAttempts += 1;
    this.#nextAttemptMs = this.#dependencies.timer.nowMs() + this.#backoffMs();
    this.#failAll(detail);
  }

  #backoffMs(): number {
    if (this.#failedAttempts === 0) return 0;
    const doublings = Math.min(this.#failedAttempts - 1, 16);
    return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** doublings);
  }

  #startTimeout(id: number, timeoutMs: number): CancelTimer {
    return this.#dependencies.timer.after(timeoutMs, () => {
      const sentAtBytes = this.#calls.get(id)?.sentAtReceivedBytes;
      this.#failCall(id, `no response within ${timeoutMs} ms`);
      // If no byte was received since the call, the peer or the network path
      // to it has failed.
      const isIdle = sentAtBytes === this.#socket?.receivedBytes;
      if (sentAtBytes !== undefined && isIdle) this.reset("peer unresponsive");
    });
  }

  #failAll(detail: string): void {
    this.#queue = [];
    this.#queuedBytes = 0;
    for (const id of [...this.#calls.keys()]) this.#failCall(id, detail);
  }

  #failCall(id: number | undefined, message: string): void {
    const call = id === undefined ? undefined : this.#calls.get(id);
    if (id === undefined || !call || call.failure) return;
    const isSent = call.sentAtReceivedBytes !== undefined;
    const kind = isSent ? "maybe-sent" : "not-sent";
    call.failure = createPeerError(kind, this.#peerVm, call.method, message);
    this.#queue = this.#queue.filter((entry) => entry.callId !== id);
    this.#client.receive(
      createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, message),
    );
  }

  #report(kind: Parameters<PeerEventListener>[0]["kind"], detail: string) {
    const peer = this.#peerVm;
    this.#dependencies.onEvent({ kind, direction: "out", peer, detail });
  }
}
