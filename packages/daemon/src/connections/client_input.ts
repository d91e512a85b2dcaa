import type { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import {
  findEmptyLineEnd,
  MAX_SLICE_BYTES,
  nextInputSlice,
  type TimerService,
} from "@coltsfootford/core";
import {
  headCostBytes,
  type HeldBytes,
  HeldPart,
  partialHeadCostBytes,
} from "../buffering/index.ts";
import type { InputQueue, QueuedInput } from "./input_queue.ts";
import { countPartialStrings, releasePartialStrings } from "./parsed_lines.ts";

/** Time that the input of one connection may take before others are read. */
const MAX_SHARE_MS = 2;
/** A head with more names and values than that counts as large. */
const LARGE_HEAD_STRINGS = 512;
/** What Node.js and the kernel may hold of a connection that is not read. */
const PAUSED_BYTES = 128 * 1024;
/** Bytes that a head may have beside its names and values. */
const MAX_SEPARATOR_BYTES = 8_192;
const NO_INPUT = Buffer.alloc(0);

/** The account of the memory that input takes; see `ByteHoldings`. */
export interface InputMemory {
  /** Opens a holding for input that is not parsed. */
  open(kind: "request", requestId: undefined): HeldBytes;
  /** Counts bytes that were read. */
  onReceived(bytes: number): void;
  /** Counts the memory of a head with far more lines than ordinary ones. */
  onLargeHead(bytes: number): void;
}

/** Dependencies of a `ClientInput`. */
export interface ClientInputDependencies {
  readonly queue: InputQueue;
  readonly timer: TimerService;
  readonly memory: InputMemory;
}

/** What a `ClientInput` asks the owner of its connection. */
export interface ClientInputOwner {
  /** The limit on the names and values of a head. */
  readonly maxHeadBytes: number;
  /** The number of requests that wait for their response. */
  readonly pendingCount: () => number;
  /** Whether the connection may have more requests than it has now. */
  readonly canParse: () => boolean;
  /** Called once a head is longer than any that is served. */
  readonly onHeadTooLong: () => void;
  /** Called if the memory budget takes back what is held of the input. */
  readonly onEvicted: () => void;
}

interface InputHolding {
  readonly held: HeldBytes;
  readonly part: HeldPart;
}

/**
 * The bytes that a client connection has received, on their way to the HTTP
 * parser of Node.js. The parser would handle all that one read returns at once,
 * up to thousands of requests or chunks. Here it gets slices: it stops while the
 * connection has enough requests, and the connections with much input take
 * turns. A connection with input left is not read.
 */
export class ClientInput implements QueuedInput {
  readonly #socket: Socket;
  readonly #dependencies: ClientInputDependencies;
  readonly #owner: ClientInputOwner;
  readonly #parse: (bytes: Buffer) => void;
  #input: Buffer = NO_INPUT;
  /** Whether Node.js wants no more input, since a body or response is full. */
  #isParserPaused = false;
  #isParsing = false;
  #isDiscarded = false;
  /** The latest request, until its body has been parsed. */
  #request: IncomingMessage | undefined;
  #declaredBytesLeft = 0;
  /** Bytes of a head that is not complete. */
  #headBytes = 0;
  #holding: InputHolding | undefined;

  /** Takes over the input of a connection of an HTTP server. */
  constructor(
    socket: Socket,
    dependencies: ClientInputDependencies,
    owner: ClientInputOwner,
  ) {
    this.#socket = socket;
    this.#dependencies = dependencies;
    this.#owner = owner;
    const [parse] = socket.listeners("data");
    this.#parse = parse as (bytes: Buffer) => void;
    socket.off("data", this.#parse);
    // Node.js detaches its parser from a socket that gets such a listener.
    socket.on("data", (bytes) => this.#receive(bytes));
    // Node.js calls them where a body or a response is full, or has room again.
    // It must not resume a connection that has input left.
    socket.pause = () => this.#setParserPaused(true);
    socket.resume = () => this.#setParserPaused(false);
    socket.once("close", () => this.#drop());
  }

  /** Whether bytes have arrived that were not parsed. */
  get hasInput(): boolean {
    return this.#input.length > 0;
  }

  /** Call it for each request, as soon as its head has been parsed. */
  onRequest(request: IncomingMessage): void {
    const { rawHeaders } = request;
    this.#countLargeHead(headCostBytes(rawHeaders), rawHeaders.length);
    this.#request = request;
    this.#headBytes = 0;
    this.#declaredBytesLeft = Number(request.headers["content-length"] ?? 0);
  }

  /** Parses on if the owner allows it now. */
  continue(): void {
    if (this.#canAdvance()) this.#dependencies.queue.add(this);
  }

  /** Drops what has arrived and what still arrives. */
  discard(): void {
    this.#isDiscarded = true;
    releasePartialStrings(this.#socket);
    this.#drop();
    this.#updateFlow();
  }

  /** Parses a share of the input. */
  advance(): void {
    if (this.#isParsing) return;
    const { queue, timer } = this.#dependencies;
    const endAtMs = timer.nowMs() + MAX_SHARE_MS;
    this.#isParsing = true;
    while (this.#canAdvance()) {
      this.#parseSlice();
      if (timer.nowMs() >= endAtMs) break;
    }
    this.#isParsing = false;
    if (this.#canAdvance()) queue.add(this);
    this.#updateFlow();
    this.#updateCharge();
  }

  #receive(bytes: Buffer): void {
    this.#dependencies.memory.onReceived(bytes.length);
    if (this.#isDiscarded) return;
    if (this.hasInput) {
      this.#input = Buffer.concat([this.#input, bytes]);
      return this.#updateCharge();
    }
    this.#input = bytes;
    this.advance();
  }

  #canAdvance(): boolean {
    if (!this.hasInput || this.#isParserPaused) return false;
    const { destroyed, writable } = this.#socket;
    if (destroyed) return false;
    // No request can be served after the last response of a connection.
    if (this.#request === undefined && !writable) return false;
    // A long head behind another request waits on the connection.
    const isLongHead = this.#headBytes >= MAX_SLICE_BYTES;
    if (isLongHead && this.#owner.pendingCount() > 0) return false;
    return this.#owner.canParse();
  }

  #parseSlice(): void {
    const input = this.#input;
    const sliceBytes = nextInputSlice(input, this.#declaredBytesLeft);
    const slice = sliceBytes < input.length
      ? input.subarray(0, sliceBytes)
      : input;
    this.#input = slice === input ? NO_INPUT : input.subarray(sliceBytes);
    const isHead = this.#request === undefined;
    if (isHead) this.#headBytes += sliceBytes;
    this.#declaredBytesLeft = Math.max(0, this.#declaredBytesLeft - sliceBytes);
    this.#parse(slice);
    if (!this.#request) return this.#onPartialHead(sliceBytes);
    if (this.#request.complete) {
      // Trailers are not used.
      this.#request.rawTrailers = [];
      this.#request = undefined;
      this.#declaredBytesLeft = 0;
    } else if (isHead && this.#declaredBytesLeft > 0) {
      // The slice may have the beginning of the body, too.
      this.#declaredBytesLeft -= sliceBytes - findEmptyLineEnd(slice, 0);
    }
  }

  /** Counts a slice of a head, and checks the head's size. */
  #onPartialHead(sliceBytes: number): void {
    const strings = countPartialStrings(this.#socket);
    const headCost = partialHeadCostBytes(this.#headBytes, strings);
    this.#countLargeHead(headCost * (sliceBytes / this.#headBytes), strings);
    // The parser counts no separators, which short lines mostly consist of.
    const maxBytes = this.#owner.maxHeadBytes + MAX_SEPARATOR_BYTES;
    if (this.#headBytes > maxBytes) this.#owner.onHeadTooLong();
  }

  #countLargeHead(bytes: number, strings: number): void {
    if (strings <= LARGE_HEAD_STRINGS) return;
    this.#dependencies.memory.onLargeHead(bytes);
  }

  #setParserPaused(isPaused: boolean): Socket {
    this.#isParserPaused = isPaused;
    if (this.#isParsing) return this.#socket;
    this.continue();
    this.#updateFlow();
    return this.#socket;
  }

  /** Reads the connection unless something is left to parse. */
  #updateFlow(): void {
    const { pause, resume } = Socket.prototype;
    const isPaused = !this.#isDiscarded &&
      (this.#isParserPaused || this.hasInput);
    (isPaused ? pause : resume).call(this.#socket);
  }

  #updateCharge(): void {
    if (this.#socket.destroyed) return;
    const inputBytes = this.hasInput ? this.#input.length + PAUSED_BYTES : 0;
    const strings = countPartialStrings(this.#socket);
    const bytes = inputBytes + partialHeadCostBytes(this.#headBytes, strings);
    if (bytes === 0) return this.#release();
    this.#holding ??= this.#openHolding();
    this.#holding.part.resize(bytes);
  }

  #openHolding(): InputHolding {
    const held = this.#dependencies.memory.open("request", undefined);
    held.onEvicted(() => this.#owner.onEvicted());
    return { held, part: new HeldPart(held) };
  }

  #release(): void {
    this.#holding?.held.release();
    this.#holding = undefined;
  }

  #drop(): void {
    this.#input = NO_INPUT;
    this.#request = undefined;
    this.#headBytes = 0;
    this.#dependencies.queue.delete(this);
    this.#release();
  }
}
