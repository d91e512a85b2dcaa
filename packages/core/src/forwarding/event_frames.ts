const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** One complete event of a byte stream. */
export interface EventFrame {
  /** The bytes of the event, including the blank line that ends it. */
  readonly bytes: Uint8Array;
  /** The id of the event; undefined where it has none. */
  readonly id: string | undefined;
}

/**
 * Splits a stream of server-sent events into complete events, so that no event
 * is forwarded before its end was received.
 */
export class EventFramer {
  #rest: Uint8Array = new Uint8Array(0);

  /** Appends bytes and returns the events that are complete now. */
  push(bytes: Uint8Array): EventFrame[] {
    const all = this.#rest.length === 0 ? bytes : join(this.#rest, bytes);
    const frames: EventFrame[] = [];
    let startAt = 0;
    let endAt = findEnd(all, startAt);
    while (endAt !== -1) {
      const event = all.subarray(startAt, endAt);
      frames.push({ bytes: event, id: readId(event) });
      startAt = endAt;
      endAt = findEnd(all, startAt);
    }
    this.#rest = all.subarray(startAt);
    return frames;
  }

  /** Bytes after the last complete event. */
  get rest(): Uint8Array {
    return this.#rest;
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

function readId(event: Uint8Array): string | undefined {
  return ID_LINE.exec(decoder.decode(event))?.[1];
}

function join(left: Uint8Array, right: Uint8Array): Uint8Array {
  const joined = new Uint8Array(left.length + right.length);
  joined.set(left);
  joined.set(right, left.length);
  return joined;
}
