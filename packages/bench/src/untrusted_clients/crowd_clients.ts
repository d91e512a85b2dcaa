import type { CrowdClient } from "./crowd.ts";

const CHUNK_BYTES = 64 * 1024;
const TINY_CHUNK = "1\r\nx\r\n";
const TINY_CHUNKS_PER_WRITE = 8_192;
const LARGE_CHUNK = Buffer.from(
  `${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`,
);

/** Sends a body in chunks of one byte, and leaves it without an end. */
export function tinyChunksClient(bodyBytes: number): CrowdClient {
  const writes = Math.floor(bodyBytes / TINY_CHUNKS_PER_WRITE);
  return {
    isReading: true,
    *parts() {
      yield requestHead("uploads", "Transfer-Encoding: chunked");
      const write = TINY_CHUNK.repeat(TINY_CHUNKS_PER_WRITE);
      for (let index = 0; index < writes; index++) yield write;
    },
  };
}

/** Sends a body just short of `bodyBytes` in large chunks, without an end. */
export function largeChunksClient(bodyBytes: number): CrowdClient {
  return {
    isReading: true,
    *parts() {
      yield requestHead("uploads", "Transfer-Encoding: chunked");
      for (let sent = CHUNK_BYTES; sent < bodyBytes; sent += CHUNK_BYTES) {
        yield LARGE_CHUNK;
      }
    },
  };
}

/** Sends a body of `bodyBytes` completely. */
export function wholeBodyClient(bodyBytes: number): CrowdClient {
  return bodyClient(bodyBytes, bodyBytes);
}

/** Declares a body of `bodyBytes`, and sends all of it but a byte. */
export function unfinishedBodyClient(bodyBytes: number): CrowdClient {
  return bodyClient(bodyBytes, bodyBytes - 1);
}

function bodyClient(declaredBytes: number, sentBytes: number): CrowdClient {
  const part = Buffer.alloc(CHUNK_BYTES, "x");
  return {
    isReading: true,
    *parts() {
      yield requestHead("uploads", `Content-Length: ${declaredBytes}`);
      for (let left = sentBytes; left > 0; left -= part.length) {
        yield part.subarray(0, Math.min(left, part.length));
      }
    },
  };
}

/** Requests a large plain response, and reads nothing of it. */
export function unreadResponseClient(): CrowdClient {
  return {
    isReading: false,
    *parts() {
      yield requestHead("downloads", "Content-Length: 0");
    },
  };
}

/** Sends nothing. */
export function idleClient(): CrowdClient {
  return { isReading: true, parts: () => [""] };
}

function requestHead(route: string, header: string): string {
  return `POST /services/${route}/crowd HTTP/1.1\r\nHost: crowd\r\n` +
    `X-Coltsfoot-Team: lots\r\n${header}\r\n\r\n`;
}
