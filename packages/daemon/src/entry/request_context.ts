import type { BodyBytes } from "../buffering/index.ts";
import type { Pool, Route, Team } from "@coltsfootford/core";

/** A validated request with its route, pool, team and deadline. */
export interface RequestContext {
  /** The id sent to targets; unique over all incarnations of all daemons. */
  readonly requestId: string;
  readonly team: Team;
  readonly route: Route;
  readonly pool: Pool;
  /** Requests with the same key are expected to share a prompt prefix. */
  readonly chatKey: string;
  /** Whether this is a later turn of a chat, so its prefix may be cached. */
  readonly isFollowUpTurn: boolean;
  /** Digests of the messages that other chats may share; not of the last one. */
  readonly sharedMessages: readonly string[];
  /** 0 is the lowest priority, 9 the highest. */
  readonly priority: number;
  /** The deadline on this daemon's monotonic clock, in ms. */
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  /** Path and query string sent to the target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: BodyBytes;
  /** Whether the client requested server-sent events. */
  readonly isStream: boolean;
  /** Aborted when the client disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}
