/** Largest body of a success whose length the head does not state. */
const MAX_BODY_BYTES = 1024 * 1024;
/** Largest body of a success whose length the head states. */
const MAX_STATED_BODY_BYTES = 16 * 1024 * 1024;
/** Largest body that is read of any other response. */
const MAX_ERROR_BODY_BYTES = 64 * 1024;
/**
 * Most pieces in which a body that is buffered may arrive. A body in chunks of a
 * few bytes costs more time than bytes.
 */
const MAX_BODY_PIECES = 65_536;
/** Largest incomplete event of a stream. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Largest stream in total. */
const MAX_STREAM_BYTES = 16 * 1024 * 1024;
/**
 * Bytes of a response beside its body: heads, interim responses, trailers, and
 * body bytes that were received but not read yet.
 */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Framing of a chunk that has a single byte of body, rounded up. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 16;

/** Events beyond the tokens, or with the id of the event before. */
const MAX_EXTRA_EVENTS = 256;

/**
 * Bounds the bytes that are read of one response, since a faulty target may
 * send bytes without end as any part of it.
 */
export class ResponseLimits {
  #receivedBytes = 0;
  #bodyBytes = 0;
  #bodyPieces = 0;
  #maxBodyPieces = MAX_BODY_PIECES;
  #maxBodyBytes = MAX_ERROR_BODY_BYTES;
  #events = 0;
  #repeatedEvents = 0;
  #lastEventId: string | undefined;
  readonly #maxEvents: number;

  /** `maxOutputTokens` limits the events of a stream; 0 if it is unknown. */
  constructor(maxOutputTokens: number) {
    this.#maxEvents = maxOutputTokens > 0
      ? maxOutputTokens + MAX_EXTRA_EVENTS
      : Infinity;
  }

  /** Allows the body of a success; `statedBytes` is the length in its head. */
  allowBody(statedBytes: number | undefined): void {
    this.#maxBodyBytes = statedBytes === undefined
      ? MAX_BODY_BYTES
      : MAX_STATED_BODY_BYTES;
  }

  /** Allows a stream of events. */
  allowStream(): void {
    this.#maxBodyBytes = MAX_STREAM_BYTES;
    this.#maxBodyPieces = Infinity;
  }

  /** Counts bytes of the connection, framing included. */
  recordReceived(bytes: number): void {
    this.#receivedBytes += bytes;
  }

  /** Counts a piece of the body. */
  recordBody(bytes: number): void {
    this.#bodyPieces += 1;
    this.#bodyBytes += bytes;
  }

  /** Counts an event of a stream. */
  recordEvent(id: string | undefined): void {
    this.#events += 1;
    if (id !== undefined && id === this.#lastEventId) this.#repeatedEvents += 1;
    this.#lastEventId = id ?? this.#lastEventId;
  }

  /** Which limit the response exceeds, if any. */
  findExcess(incompleteEventBytes = 0): string | undefined {
    if (this.#bodyBytes > this.#maxBodyBytes) {
      return "answer too large";
    }
    if (this.#bodyPieces > this.#maxBodyPieces) {
      return "answer in too many pieces";
    }
    if (
      this.#events > this.#maxEvents || this.#repeatedEvents > MAX_EXTRA_EVENTS
    ) return "too many events";
    if (incompleteEventBytes > MAX_EVENT_BYTES) return "event too large";
    const framingBytes = this.#receivedBytes - this.#bodyBytes;
    const maxFramingBytes = MAX_FRAMING_BYTES +
      this.#bodyBytes * MAX_FRAMING_BYTES_PER_BODY_BYTE;
    if (framingBytes > maxFramingBytes) return "too many bytes beside the body";
    return undefined;
  }
}
