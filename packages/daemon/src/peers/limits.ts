/** Longest line between authenticated daemons. */
export const MAX_LINE_BYTES = 1024 * 1024;
/** Longest line before the other end is authenticated. */
export const MAX_HANDSHAKE_LINE_BYTES = 2048;
/** Time for the whole handshake, from the TCP connection on. */
export const HANDSHAKE_TIMEOUT_MS = 3000;
/** Time for the TCP connection. */
export const CONNECT_TIMEOUT_MS = 2000;
/** Wait after a first failed connection attempt; it doubles with each. */
export const MIN_BACKOFF_MS = 50;
/** Longest wait between connection attempts. */
export const MAX_BACKOFF_MS = 2000;
/** Time for the answer to a call, unless the caller says otherwise. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000;
/** Bytes of messages that may wait for a connection. */
export const MAX_QUEUED_BYTES = 256 * 1024;
/** Bytes that may wait in a socket that does not drain. */
export const MAX_UNDRAINED_BYTES = 4 * 1024 * 1024;
