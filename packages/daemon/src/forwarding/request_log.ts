import {
  type BodyDelimiter,
  type Placement,
  type RetryDecision,
  sharedParts,
  totalRequests,
} from "@coltsfootford/core";
import type { ClientResponse } from "./client_response.ts";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";
import type { AttemptEnd, ResponseHead } from "./target_attempt.ts";

/** Limit on a logged age, which is infinite until the first load report. */
const MAX_LOGGED_AGE_MS = 99_999;

/** Logs that an attempt is sent, with the inputs of the placement decision. */
export function logSent(
  { log, timer }: ForwarderDependencies,
  { metadata, configVersion }: AcceptedRequest,
  placement: Placement,
  attempt: { readonly timeLeftMs: number; readonly triesBefore: number },
): void {
  const { target, record } = placement.candidate;
  const reportAgeMs = Math.round(record.reportedLoadAgeMs(timer.nowMs()));
  log.event("forwardingSent", {
    request: metadata.requestId,
    target: target.incarnation,
    service: target.service,
    reason: placement.reason,
    costMs: Math.round(placement.costMs),
    missingTokens: placement.missingTokens,
    fetchFrom: placement.source?.candidate.target.incarnation,
    load: roundToTenths(placement.estimatedLoad),
    loadBound: roundToTenths(placement.loadBound),
    toldAgeMs: Math.min(MAX_LOGGED_AGE_MS, reportAgeMs),
    configVersion,
    timeLeftMs: Math.round(attempt.timeLeftMs),
    triesBefore: attempt.triesBefore,
  });
}

function roundToTenths(value: number): number {
  return Math.round(value * 10) / 10;
}

/** How an attempt failed, and the decision about a retry. */
export interface FailedAttempt {
  readonly target: string;
  readonly end: AttemptEnd;
  readonly eventsReceived: number;
  readonly afterMs: number;
  readonly decision: RetryDecision;
}

/** Logs that an attempt failed. */
export function logAttemptFailed(
  { log, metrics }: ForwarderDependencies,
  { metadata }: AcceptedRequest,
  { target, end, eventsReceived, afterMs, decision }: FailedAttempt,
): void {
  const hasBrokenUnanswered = end.kind === "broken" && eventsReceived === 0;
  metrics.count(`tries_${end.kind}_total`);
  log.event("forwardingTryFailed", {
    request: metadata.requestId,
    target,
    ended: end.kind,
    cause: "cause" in end ? end.cause : undefined,
    status: end.kind === "whole" ? end.response.status : undefined,
    events: end.kind === "broken" ? eventsReceived : undefined,
    parts: hasBrokenUnanswered
      ? sharedParts(metadata.prompt).map(({ id }) => id)
      : undefined,
    afterMs: Math.round(afterMs),
    next: decision.kind,
    why: decision.kind === "stop" ? decision.reason : undefined,
  });
}

/** How a request ended; the fields are logged under their own names. */
export interface EndedRequest {
  readonly outcome: string;
  readonly status: number;
  readonly tries: number;
  readonly mayHaveRun: boolean;
  /** Load that the target of the last attempt reported, if any. */
  readonly reportedLoad: number | undefined;
  /** Requests a second that it takes from all daemons, if it names a limit. */
  readonly namedLimit: number | undefined;
  /** What marks the end of the last response of a target, if there was one. */
  readonly endMarkedBy: BodyDelimiter | undefined;
  /** What marks the end of the response to the client, if it has begun. */
  readonly clientEndMarkedBy: BodyDelimiter | undefined;
}

/** What the last response of a target and that to the client say of the end. */
export function describeEnd(
  head: ResponseHead | undefined,
  response: ClientResponse,
) {
  const { load, limitPerSecond } = head?.metadata ?? {};
  return {
    reportedLoad: load && totalRequests(load),
    namedLimit: limitPerSecond,
    endMarkedBy: head?.delimiter,
    clientEndMarkedBy: response.delimiter,
  } satisfies Partial<EndedRequest>;
}

/** Logs the end of a request, and counts it. */
export function logEnded(
  { log, metrics, timer }: ForwarderDependencies,
  { metadata, route, receivedAtMs }: AcceptedRequest,
  ended: EndedRequest,
): void {
  const tookMs = Math.round(timer.nowMs() - receivedAtMs);
  metrics.recordMs("request_ms", tookMs);
  metrics.count(`requests_${ended.outcome.replaceAll(/[ -]/g, "_")}_total`);
  log.event("forwardingEnded", {
    request: metadata.requestId,
    route: route.name,
    tookMs,
    ...ended,
  });
}
