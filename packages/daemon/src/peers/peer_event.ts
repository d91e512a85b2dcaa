/** What happened on a connection between daemons. */
export type PeerEventKind =
  | "connected"
  | "disconnected"
  | "connect-failed"
  | "authentication-failed"
  | "malformed-line"
  | "oversized-line"
  | "handler-failed";

/** An event of the peer connections, for the log and for membership. */
export interface PeerEvent {
  readonly kind: PeerEventKind;
  /** `out` for connections that this daemon opened, `in` for the others. */
  readonly direction: "in" | "out";
  /** Name of the other VM, or its address before it is authenticated. */
  readonly peer: string;
  readonly detail: string;
}

/** Receives the events of the peer connections. */
export type PeerEventListener = (event: PeerEvent) => void;
