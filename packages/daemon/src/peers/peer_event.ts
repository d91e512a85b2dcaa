/** The kind of an event on a connection between daemons. */
export type PeerEventKind =
  | "connected"
  | "disconnected"
  | "connect-failed"
  | "authentication-failed"
  | "malformed-line"
  | "oversized-line"
  | "handler-failed";

/** An event of the peer connections, used by the log and the membership. */
export interface PeerEvent {
  readonly kind: PeerEventKind;
  /** `out` for connections that this daemon opened, `in` for the others. */
  readonly direction: "in" | "out";
  /** Name of the peer's VM, or its address before it is authenticated. */
  readonly peer: string;
  readonly detail: string;
}

/** Receives the events of the peer connections. */
export type PeerEventListener = (event: PeerEvent) => void;
