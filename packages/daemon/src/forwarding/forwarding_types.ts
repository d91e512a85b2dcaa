import type {
  Candidate,
  EngineProperties,
  ForwardingRoute,
  InFlightAttempt,
  Permit,
  Placement,
  PlacementSettings,
  PromptDescription,
  RegisteredTarget,
  ReportedLoad,
  RetryShares,
  TeamKeys,
  TimerService,
} from "@coltsfootford/core";
import type { PieceBuffer } from "../buffering/index.ts";
import type { Logger } from "../log/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { ClientResponse } from "./client_response.ts";
import type {
  RequestCodec,
  RequestMetadata,
  ResponseMetadata,
} from "./request_codec.ts";
import type { RequestContent } from "./request_digest.ts";
import type { TargetPool } from "./target_pool.ts";

/** A request that passed the checks of the server and may be forwarded. */
export interface AcceptedRequest {
  /** Without its headers once the request can't be sent again. */
  metadata: RequestMetadata;
  readonly method: string;
  /** Path and query as the client sent them. */
  readonly path: string;
  /** Charged to the byte budget until the request has ended. */
  readonly body: PieceBuffer;
  readonly route: ForwardingRoute;
  readonly service: string;
  /** Undefined for plain services. */
  readonly engine: EngineProperties | undefined;
  readonly team: TeamKeys | undefined;
  readonly configVersion: number;
  /** When the head was received, on the monotonic clock. */
  readonly receivedAtMs: number;
  readonly response: ClientResponse;
}

/** Detects which requests crash the targets that execute them. */
export interface CrashObserver {
  /** An attempt failed after the target may have executed the request. */
  onAttemptBroken(
    request: RequestContent,
    target: RegisteredTarget,
    attempt: InFlightAttempt,
  ): void;
  /** The target's complete response to the request has arrived. */
  onRequestServed(request: RequestContent): void;
}

/** Detects which prompt parts crash the targets that respond to them. */
export interface PromptObserver {
  /** An attempt failed after the target may have executed the request. */
  onAttemptBroken(
    prompt: PromptDescription,
    target: RegisteredTarget,
    attempt: InFlightAttempt,
  ): void;
  /** A target has responded to the prompt completely. */
  onResponseCompleted(prompt: PromptDescription): void;
  /**
   * A stream has ended with its connection, which a crash of the target causes
   * as well.
   */
  onResponseUnproven(
    prompt: PromptDescription,
    target: RegisteredTarget,
    attempt: InFlightAttempt,
  ): void;
}

/** Receives the loads that targets report with their responses. */
export interface LoadObserver {
  onReportedLoad(placement: Placement, load: ReportedLoad): void;
}

/** Learns of targets that state in responses that they leave. */
export interface LeavingObserver {
  onLeaving(target: RegisteredTarget): void;
}

/** Keeps to the limits that targets name, together with all other daemons. */
export interface TargetLimits {
  /** The head of a response has arrived, which may name a limit. */
  onResponse(
    target: RegisteredTarget,
    response: ResponseMetadata,
    attempt: InFlightAttempt,
  ): void;
  /** Whether a request to the target needs a permit. */
  isLimited(target: RegisteredTarget): boolean;
  /** Reserves a request at a target; a granted one may have to wait. */
  requestPermit(
    candidate: Candidate,
    maxWaitMs: number,
  ): Promise<Permit>;
}

/** The end of the wait for a slot: the request may be sent, or is rejected. */
export type SlotOutcome =
  | { readonly kind: "execute" }
  | {
    readonly kind: "reject";
    /** Undefined where the wait is over without a decision. */
    readonly retryAfterMs: number | undefined;
  };

/** A slot that a request waits for or has. */
export interface RequestedSlot {
  readonly outcome: Promise<SlotOutcome>;
  /** Ends the wait, or the execution; further calls have no effect. */
  end(): void;
}

/** Orders the requests to contended targets, together with all other daemons. */
export interface TargetSlots {
  /** The head of a response has arrived, which may show contention. */
  onResponse(
    candidate: Candidate,
    response: ResponseMetadata,
    request: AcceptedRequest,
  ): void;
  /** Whether the request needs a slot of the target. */
  isContended(candidate: Candidate, request: AcceptedRequest): boolean;
  /** Requests a slot. The wait for it ends after `maxWaitMs`. */
  requestSlot(
    candidate: Candidate,
    request: AcceptedRequest,
    limits: { readonly timeLeftMs: number; readonly maxWaitMs: number },
  ): RequestedSlot;
}

/** Dependencies of the request forwarder. */
export interface ForwarderDependencies {
  readonly codec: RequestCodec;
  readonly pool: TargetPool;
  readonly timer: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly placement: () => PlacementSettings;
  /** Zones whose targets receive no requests. */
  readonly evacuatedZones: () => ReadonlySet<string>;
  readonly crashObserver: CrashObserver;
  readonly promptObserver: PromptObserver;
  /** Prompt parts with all of which no request is sent. */
  readonly quarantinedParts: () => readonly (readonly string[])[];
  readonly loadObserver: LoadObserver;
  readonly leavingObserver: LeavingObserver;
  readonly limits: TargetLimits;
  readonly slots: TargetSlots;
  readonly retryShares: RetryShares;
  readonly random: () => number;
}
