/** Longest line between authenticated daemons. */
export const MAX_LINE_BYTES = 1024 * 1024;
/** Longest line before the peer is authenticated. */
export const MAX_HANDSHAKE_LINE_BYTES = 2048;
/** Timeout of the whole handshake, measured from the TCP connection. */
export const HANDSHAKE_TIMEOUT_MS = 3000;
/** Accepted connections whose peers are not authenticated yet. */
export const MAX_PENDING_HANDSHAKES = 128;
/** Timeout of the TCP connection attempt. */
export const CONNECT_TIMEOUT_MS = 2000;
/** Backoff after the first failed connection attempt; doubles per failure. */
export const MIN_BACKOFF_MS = 50;
/** Longest backoff between connection attempts. */
export const MAX_BACKOFF_MS = 2000;
/** Timeout of a call that sets no timeout of its own. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000;
/** Limit of the messages that are queued until a connection is ready. */
export const MAX_QUEUED_BYTES = 256 * 1024;
/** Limit of the bytes in the write buffer of a socket that does not drain. */
export const MAX_UNDRAINED_BYTES = 4 * 1024 * 1024;
