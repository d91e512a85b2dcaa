/** Largest share of its remaining time that a client waits, by the protocol. */
const MAX_WAIT_SHARE = 1 / 3;
/** Upper limit of the wait; most overloads and outages last about a second. */
const MAX_RETRY_AFTER_MS = 1_000;
/** Lower limit, so that a rejected client doesn't retry immediately. */
const MIN_RETRY_AFTER_MS = 50;

/**
 * Time after which a rejected client should retry, in ms. It is short enough
 * for the time left, and jittered with `random` (0 to 1), so that clients that
 * are rejected together don't retry together.
 */
export function jitteredRetryAfterMs(
  timeLeftMs: number,
  random: number,
): number {
  const longestMs = Math.min(MAX_RETRY_AFTER_MS, timeLeftMs * MAX_WAIT_SHARE);
  const jitteredMs = longestMs * (0.5 + 0.5 * random);
  return Math.max(MIN_RETRY_AFTER_MS, jitteredMs);
}

const MS_PER_S = 1_000;
/** Longest time that a target may ask to be left alone. */
const MAX_STAY_AWAY_S = 3_600;

/**
 * The time that a target's `Retry-After` header states, in ms and at most an
 * hour; undefined for a date or anything else but decimal seconds.
 */
export function parseRetryAfterMs(
  text: string | undefined,
): number | undefined {
  if (!/^\d{1,15}(\.\d+)?$/.test(text ?? "")) return undefined;
  return Math.min(MAX_STAY_AWAY_S, Number(text)) * MS_PER_S;
}

/** Share of a time to stay away by which daemons come back one by one. */
const RETURN_SPREAD = 0.1;
const MAX_RETURN_SPREAD_MS = 1_000;

/**
 * Time for which a daemon stays away from a target that asked for `stayAwayMs`.
 * It is jittered with `random` (0 to 1), so that not all daemons come back at
 * once.
 */
export function jitteredStayAwayMs(stayAwayMs: number, random: number): number {
  const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, stayAwayMs * RETURN_SPREAD);
  return stayAwayMs + spreadMs * random;
}
