import type { Pool, Route, Team } from "@coltsfootford/core";

/** All that is known of one request once it was checked. */
export interface RequestContext {
  /** Names the request towards targets; unique over all daemons' runs. */
  readonly requestId: string;
  readonly team: Team;
  readonly route: Route;
  readonly pool: Pool;
  /** Requests with the same key share a prompt prefix. */
  readonly chatKey: string;
  /** Whether it is a later turn of a chat, whose prefix may be cached. */
  readonly isReturning: boolean;
  /** 0 is the lowest priority, 9 the highest. */
  readonly priority: number;
  /** End of the request on this daemon's monotonic clock, in ms. */
  readonly deadlineAtMs: number;
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  /** Path and query towards the target. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Whether the caller asked for server-sent events. */
  readonly isStream: boolean;
  /** Aborted when the caller has gone or the deadline has passed. */
  readonly signal: AbortSignal;
}
