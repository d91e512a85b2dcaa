const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const INITIAL_BUFFER_BYTES = 512;
/** Bytes of a blank line that may have arrived without its last one. */
const MAX_PARTIAL_END_BYTES = 2;

/** One complete event of a byte stream. */
export interface EventFrame {
  /** The bytes of the event, including the blank line that ends it. */
  readonly bytes: Uint8Array;
  /** The id of the event; undefined where it has none. */
  readonly id: string | undefined;
  /** Whether it has data; comments that keep a connection alive have none. */
  readonly hasData: boolean;
}

/**
 * Splits a stream of server-sent events into complete events, so that no event
 * is forwarded before its end was received.
 */
export class EventFramer {
  /** Holds the incomplete event; grows in powers of two. */
  #buffer: Uint8Array = new Uint8Array(INITIAL_BUFFER_BYTES);
  #restBytes = 0;

  /** Appends bytes and returns the events that are complete now. */
  push(bytes: Uint8Array): EventFrame[] {
    if (this.#restBytes === 0) return this.#takeEvents(bytes, 0);
    const scanFrom = Math.max(0, this.#restBytes - MAX_PARTIAL_END_BYTES);
    this.#append(bytes);
    if (findEnd(this.rest, scanFrom) === -1) return [];
    // A copy, since the buffer is used again while the events are forwarded.
    const all = this.rest.slice();
    this.#restBytes = 0;
    return this.#takeEvents(all, scanFrom);
  }

  /** Bytes after the last complete event. */
  get rest(): Uint8Array {
    return this.#buffer.subarray(0, this.#restBytes);
  }

  /** Whether an event has begun and is not complete. */
  get hasIncompleteEvent(): boolean {
    return this.rest.some((byte) =>
      byte !== LINE_FEED && byte !== CARRIAGE_RETURN
    );
  }

  #takeEvents(all: Uint8Array, scanFrom: number): EventFrame[] {
    const frames: EventFrame[] = [];
    let startAt = 0;
    let endAt = findEnd(all, scanFrom);
    while (endAt !== -1) {
      const event = all.subarray(startAt, endAt);
      frames.push({ bytes: event, ...readFields(event) });
      startAt = endAt;
      endAt = findEnd(all, startAt);
    }
    this.#append(all.subarray(startAt));
    return frames;
  }

  #append(bytes: Uint8Array): void {
    const neededBytes = this.#restBytes + bytes.length;
    if (neededBytes > this.#buffer.length) {
      const larger = new Uint8Array(2 ** Math.ceil(Math.log2(neededBytes)));
      larger.set(this.rest);
      this.#buffer = larger;
    }
    this.#buffer.set(bytes, this.#restBytes);
    this.#restBytes = neededBytes;
  }
}

/** Finds the position after the blank line that ends the event, or -1. */
function findEnd(bytes: Uint8Array, startAt: number): number {
  let lineFeedAt = bytes.indexOf(LINE_FEED, startAt);
  while (lineFeedAt !== -1) {
    const next = bytes[lineFeedAt + 1];
    if (next === LINE_FEED) return lineFeedAt + 2;
    if (next === CARRIAGE_RETURN && bytes[lineFeedAt + 2] === LINE_FEED) {
      return lineFeedAt + 3;
    }
    lineFeedAt = bytes.indexOf(LINE_FEED, lineFeedAt + 1);
  }
  return -1;
}

const decoder = new TextDecoder("latin1");
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/;
const DATA_LINE = /(?:^|\n)data[:\r\n]/;

function readFields(event: Uint8Array): Omit<EventFrame, "bytes"> {
  const text = decoder.decode(event);
  return { id: ID_LINE.exec(text)?.[1], hasData: DATA_LINE.test(text) };
}
