/**
 * What a request may do. `idempotent` requests may run twice. `at-most-once`
 * requests may not. A `stream` is answered by a series of events; it counts as
 * `at-most-once` unless its route says that it can be resumed.
 */
export type RequestKind = "idempotent" | "at-most-once" | "stream";

/** A service that takes a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** How the requests of one host under one path prefix are forwarded. */
export interface ForwardingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time until the final answer. */
  readonly timeoutMs: number;
  /** Time to the whole answer, or to a stream's first event, that is aimed at. */
  readonly targetLatencyMs: number;
  /** Longest pause between a stream's events that is aimed at. */
  readonly targetPauseMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly services: readonly WeightedService[];
  /** Most targets that one request may run on. */
  readonly maxTargets: number;
  /** Whether requests need no key of a team. */
  readonly isPublic: boolean;
  readonly isResumable: boolean;
}

/** What an operator tells of the model engines of a service. */
export interface EngineProperties {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** KV cache that a token takes. */
  readonly cacheBytesPerToken: number;
  /** Bandwidth at which engines fetch KV cache from one another. */
  readonly linkMbps: number;
}

/** What is known of a service beside its targets. */
export interface ForwardingService {
  readonly name: string;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnectionsPerTarget: number;
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
}

/** What clients may send, and how long they may take. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A team with the keys that its callers present. */
export interface TeamKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the rank of a route. */
  readonly rank: number | undefined;
}

/** A whole configuration of the forwarding path. */
export interface ForwardingConfig {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: readonly ForwardingService[];
  readonly limits: ClientLimits;
  /** Undefined where callers need no keys. */
  readonly teams: readonly TeamKeys[] | undefined;
}

/** Tells whether a request of the route may run again after it may have run. */
export function mayRunAgain(route: ForwardingRoute): boolean {
  if (route.kind === "idempotent") return true;
  return route.kind === "stream" && route.isResumable;
}
