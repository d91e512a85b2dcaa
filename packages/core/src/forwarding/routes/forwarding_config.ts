/**
 * How a request may be executed. `idempotent` requests may be executed twice,
 * `at-most-once` requests may not. The response to a `stream` is a series of
 * events; it counts as `at-most-once` unless its route is resumable.
 */
export type RequestKind = "idempotent" | "at-most-once" | "stream";

/** A service that receives a share of a route's requests. */
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
  /** Limit of the time until the response is complete. */
  readonly timeoutMs: number;
  /** Latency objective: to the complete response, or a stream's first event. */
  readonly targetLatencyMs: number;
  /** Objective for the longest pause between the events of a stream. */
  readonly targetPauseMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly services: readonly WeightedService[];
  /** Limit of targets that may execute one request. */
  readonly maxTargets: number;
  /** Whether requests are accepted without the key of a team. */
  readonly isPublic: boolean;
  readonly isResumable: boolean;
}

/** Configured properties of the model engines of a service. */
export interface EngineProperties {
  /** Requests that one engine executes concurrently. */
  readonly slots: number;
  /** Size of the KV cache of one token. */
  readonly cacheBytesPerToken: number;
  /** Bandwidth at which engines fetch KV cache from one another. */
  readonly linkMbps: number;
}

/** Configuration of a service, without its targets. */
export interface ForwardingService {
  readonly name: string;
  /** Connections that one target accepts from all clients together. */
  readonly maxConnectionsPerTarget: number;
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
  /** Requests a second that a cold target accepts; no limit where absent. */
  readonly coldRequestsPerSecond?: number | undefined;
  /** Time for which a target is cold after its start. */
  readonly warmupMs?: number | undefined;
}

/** Limits of the size and duration of client requests. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A team with the keys that its clients present. */
export interface TeamKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the rank of a route. */
  readonly rank: number | undefined;
}

/** A complete configuration of the forwarding path. */
export interface ForwardingConfig {
  readonly version: number;
  readonly routes: readonly ForwardingRoute[];
  readonly services: readonly ForwardingService[];
  readonly limits: ClientLimits;
  /** Undefined where clients need no keys. */
  readonly teams: readonly TeamKeys[] | undefined;
}

/** Whether a request that may have been executed may be executed again. */
export function canExecuteTwice(route: ForwardingRoute): boolean {
  if (route.kind === "idempotent") return true;
  return route.kind === "stream" && route.isResumable;
}
