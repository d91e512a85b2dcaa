import {
  type InFlightAttempt,
  jitteredStayAwayMs,
  type Placement,
} from "@coltsfootford/core";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";
import type {
  AttemptEnd,
  ResponseHead,
  TargetAttempt,
} from "./target_attempt.ts";
import type { PooledTarget } from "./target_pool.ts";

/** The attempt of a request that is in flight. */
export interface CurrentAttempt {
  readonly attempt: TargetAttempt;
  readonly inFlight: InFlightAttempt;
  readonly target: PooledTarget;
  readonly placement: Placement;
  readonly expectedFirstByteMs: number;
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
  { timer, metrics, loadObserver, leavingObserver, limits, random }:
    ForwarderDependencies,
  { route }: AcceptedRequest,
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
  if (metadata.wasNotExecuted) return;
  record.recordFirstByte(
    tookMs,
    expectedFirstByteMs + route.targetLatencyMs / 2,
    nowMs,
  );
}

/** Whether an attempt broke after its client had left the response unread. */
export function wasLeftUnread(
  { attempt }: CurrentAttempt,
  { kind }: AttemptEnd,
): boolean {
  return kind === "broken" && attempt.wasLeftUnread;
}

/** Reports an attempt that broke, as a sign that its target has crashed. */
export function reportBroken(
  { crashObserver, promptObserver }: ForwarderDependencies,
  accepted: AcceptedRequest,
  { target, inFlight }: CurrentAttempt,
): void {
  crashObserver.onAttemptBroken(accepted, target.target, inFlight);
  const { prompt } = accepted.metadata;
  promptObserver.onAttemptBroken(prompt, target.target, inFlight);
}
