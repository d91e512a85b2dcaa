/** Input of the decision whether to wait longer for a response. */
export interface ResponseWaitQuery {
  readonly isRetryable: boolean;
  readonly hasResponse: boolean;
  readonly isStream: boolean;
  readonly targetLatencyMs: number;
  readonly targetPauseMs: number;
  /** Time since the last byte of this response. */
  readonly silentMs: number;
  /** Time since the last byte of any response of the target. */
  readonly targetSilentMs: number;
  readonly timeLeftMs: number;
}

/** Silence of all responses of a target after which its streams are moved. */
const DEAD_TARGET_SILENCE_MS = 900;
/** Share of the time to the deadline after which a plain request is retried. */
const PLAIN_SILENCE_SHARE = 0.35;
/** Shortest significant silence: a few times a plain request's execution. */
const MIN_PLAIN_SILENCE_MS = 100;
/**
 * A single stream that is silent for this multiple of the pause objective
 * is retried at another target. Clients disconnect after eight times the
 * objective.
 */
const STREAM_PAUSE_FACTOR = 4;
/**
 * The same for the first event of a stream, as a multiple of the latency
 * objective. Clients disconnect after four times the objective.
 */
const STREAM_FIRST_EVENT_FACTOR = 2.5;

/** Whether to stop waiting for a response and to retry at another target. */
export function isWaitFutile(query: ResponseWaitQuery): boolean {
  if (!query.isRetryable) return false;
  const { silentMs, targetSilentMs } = query;
  if (!query.isStream) {
    const limitMs = (query.timeLeftMs + silentMs) * PLAIN_SILENCE_SHARE;
    return silentMs >= Math.max(MIN_PLAIN_SILENCE_MS, limitMs);
  }
  if (targetSilentMs >= DEAD_TARGET_SILENCE_MS) return true;
  const limitMs = query.hasResponse
    ? query.targetPauseMs * STREAM_PAUSE_FACTOR
    : query.targetLatencyMs * STREAM_FIRST_EVENT_FACTOR;
  return silentMs >= Math.max(DEAD_TARGET_SILENCE_MS, limitMs);
}
