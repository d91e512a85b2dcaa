import type {
  EngineProperties,
  ForwardingRoute,
  PlacementSettings,
  RegisteredTarget,
  RetryShares,
  TeamKeys,
  TimerService,
} from "@coltsfootford/core";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { ClientAnswer } from "./client_answer.ts";
import type { RequestCodec, RequestMetadata } from "./request_codec.ts";
import type { RequestContent } from "./request_digest.ts";
import type { TargetPool } from "./target_pool.ts";

/** A request that may be forwarded. */
export interface AcceptedRequest {
  readonly facts: RequestMetadata;
  readonly method: string;
  /** Path and query as the client sent them. */
  readonly path: string;
  readonly body: Buffer;
  readonly route: ForwardingRoute;
  readonly service: string;
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
  readonly team: TeamKeys | undefined;
  readonly configVersion: number;
  /** When its head came, on the monotonic clock. */
  readonly receivedAtMs: number;
  readonly answer: ClientAnswer;
}

/** Learns which requests crash the targets that run them. */
export interface CrashWitness {
  /** A target broke off while it may have run the request. */
  noteBroken(request: RequestContent, target: RegisteredTarget): void;
  /** The request has its target's whole answer. */
  noteServed(request: RequestContent): void;
}

/** What forwarding needs of the daemon. */
export interface ForwarderParts {
  readonly codec: RequestCodec;
  readonly pool: TargetPool;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly placement: () => PlacementSettings;
  readonly crashes: CrashWitness;
  readonly repeats: RetryShares;
  readonly random: () => number;
}
