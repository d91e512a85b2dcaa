import {
  type InFlightAttempt,
  isWaitFutile,
  jitteredStayAwayMs,
  type Placement,
} from "@coltsfootford/core";
import { classifyOutcome } from "./classify_attempt_end.ts";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";
import type { AttemptEnd, ResponseHead } from "./attempt_types.ts";
import { observeBroken } from "./observe_crash.ts";
import type { TargetAttempt } from "./target_attempt.ts";
import type { PooledTarget } from "./target_pool.ts";

/** The attempt of a request that is in flight. */
export interface CurrentAttempt {
  readonly attempt: TargetAttempt;
  readonly inFlight: InFlightAttempt;
  readonly target: PooledTarget;
  readonly placement: Placement;
  readonly expectedFirstByteMs: number;
  /** The digest of a request that failed, whose body may be dropped by now. */
  digest?: string;
}

/** State of an attempt that is being sent, to read `unreadTokens`. */
export function startInFlight(
  nowMs: number,
  unreadTokens: number,
): InFlightAttempt {
  return {
    startedAtMs: nowMs,
    unreadTokens,
    lastByteAtMs: nowMs,
    hasResponse: false,
    eventsReceived: 0,
  };
}

/** Records what the head of a response says about its target. */
export function recordFirstByte(
  { timer, metrics, loadObserver, leavingObserver, limits, slots, random }:
    ForwarderDependencies,
  accepted: AcceptedRequest,
  { inFlight, target, placement, expectedFirstByteMs }: CurrentAttempt,
  { metadata }: ResponseHead,
): void {
  const nowMs = timer.nowMs();
  const tookMs = nowMs - inFlight.startedAtMs;
  metrics.recordMs("target_first_byte_ms", tookMs);
  const { record } = target;
  if (metadata.load) {
    record.recordReportedLoad(metadata.load, nowMs);
    loadObserver.onReportedLoad(placement, metadata.load);
  }
  if (metadata.stayAwayMs !== undefined) {
    record.stayAway(jitteredStayAwayMs(metadata.stayAwayMs, random()), nowMs);
  }
  if (metadata.isLeaving) leavingObserver.onLeaving(target.target);
  limits.onResponse(target.target, metadata, inFlight);
  slots.onResponse(target, metadata, accepted);
  if (metadata.wasNotExecuted) return;
  const slowdown = metadata.load?.slowdown;
  if (slowdown !== undefined && !accepted.engine) {
    record.recordSlowedFirstByte(tookMs, slowdown);
  }
  record.recordFirstByte(
    tookMs,
    expectedFirstByteMs + accepted.route.targetLatencyMs / 2,
    nowMs,
  );
}

/** Whether to stop waiting for a target that has sent nothing for too long. */
export function isAttemptFutile(
  { timer }: ForwarderDependencies,
  { route }: AcceptedRequest,
  { inFlight, target }: CurrentAttempt,
  request: { readonly isRetryable: boolean; readonly timeLeftMs: number },
): boolean {
  // A target can't send while its response is not read.
  if (inFlight.isPaused) return false;
  const nowMs = timer.nowMs();
  return isWaitFutile({
    ...request,
    hasResponse: inFlight.hasResponse,
    isStream: route.kind === "stream",
    targetLatencyMs: route.targetLatencyMs,
    targetPauseMs: route.targetPauseMs,
    silentMs: nowMs - inFlight.lastByteAtMs,
    targetSilentMs: target.record.silentForMs(nowMs),
  });
}

/**
 * Records what the end of an attempt says about its target. A target may break
 * off a response that a slow client has left unread.
 */
export function recordEnd(
  dependencies: ForwarderDependencies,
  accepted: AcceptedRequest,
  current: CurrentAttempt,
  end: AttemptEnd,
): void {
  const { attempt, target } = current;
  if (end.kind === "broken" && attempt.wasLeftUnread) return;
  const nowMs = dependencies.timer.nowMs();
  const outcome = classifyOutcome(end);
  target.record.recordOutcome(outcome, nowMs);
  if (end.kind === "unsent" || outcome === "silent") {
    target.record.suspend(nowMs);
  } else if (end.kind === "broken") {
    observeBroken(dependencies, accepted, current);
  }
}

/** Reports that a request was served, if it can still be identified. */
export function reportServed(
  { crashObserver }: ForwarderDependencies,
  accepted: AcceptedRequest,
): void {
  if (!accepted.body.held.isEvicted) crashObserver.onRequestServed(accepted);
}
