import type { Placement, RetryDecision } from "@coltsfootford/core";
import type { AcceptedRequest, ForwarderParts } from "./forwarding_types.ts";
import type { AttemptEnd } from "./target_attempt.ts";

/** Ages in the log end here: the target has told nothing yet. */
const MAX_LOGGED_AGE_MS = 99_999;

/** Logs that a try goes to a target, with what decided it. */
export function logSent(
  { log, timer }: ForwarderParts,
  { facts, configVersion }: AcceptedRequest,
  placement: Placement,
  about: { readonly timeLeftMs: number; readonly triesBefore: number },
): void {
  const { target, record } = placement.candidate;
  const toldAgeMs = Math.round(record.reportedLoadAgeMs(timer.nowMs()));
  log.event("forwardingSent", {
    request: facts.requestId,
    target: target.incarnation,
    service: target.service,
    reason: placement.reason,
    costMs: Math.round(placement.costMs),
    missingTokens: placement.missingTokens,
    fetchFrom: placement.source?.candidate.target.incarnation,
    load: Math.round(placement.estimatedLoad * 10) / 10,
    toldAgeMs: Math.min(MAX_LOGGED_AGE_MS, toldAgeMs),
    configVersion,
    timeLeftMs: Math.round(about.timeLeftMs),
    triesBefore: about.triesBefore,
  });
}

/** How a try failed, and what follows. */
export interface FailedTry {
  readonly target: string;
  readonly end: AttemptEnd;
  readonly afterMs: number;
  readonly decision: RetryDecision;
}

/** Logs that a try failed. */
export function logTryFailed(
  { log, metrics }: ForwarderParts,
  { facts }: AcceptedRequest,
  { target, end, afterMs, decision }: FailedTry,
): void {
  metrics.count(`tries_${end.kind}_total`);
  log.event("forwardingTryFailed", {
    request: facts.requestId,
    target,
    ended: end.kind,
    cause: "cause" in end ? end.cause : undefined,
    status: end.kind === "whole" ? end.answer.status : undefined,
    afterMs: Math.round(afterMs),
    next: decision.kind,
    why: decision.kind === "stop" ? decision.reason : undefined,
  });
}

/** How a request ended. */
export interface EndedRequest {
  readonly outcome: string;
  readonly status: number;
  readonly tries: number;
  readonly mayHaveRun: boolean;
}

/** Logs that a request has its final answer, and counts it. */
export function logEnded(
  { log, metrics, timer }: ForwarderParts,
  { facts, route, receivedAtMs }: AcceptedRequest,
  ended: EndedRequest,
): void {
  const tookMs = Math.round(timer.nowMs() - receivedAtMs);
  metrics.recordMs("request_ms", tookMs);
  metrics.count(`requests_${ended.outcome.replaceAll(/[ -]/g, "_")}_total`);
  log.event("forwardingEnded", {
    request: facts.requestId,
    route: route.name,
    tookMs,
    ...ended,
  });
}
