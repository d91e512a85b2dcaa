/** What is known of an answer that doesn't come. */
export interface SilenceQuestion {
  readonly isRepeatable: boolean;
  readonly hasAnswer: boolean;
  readonly isStream: boolean;
  readonly targetLatencyMs: number;
  readonly targetPauseMs: number;
  /** How long this answer has been silent. */
  readonly silentMs: number;
  /** How long the target has been silent towards all that wait for it. */
  readonly targetSilentMs: number;
  readonly timeLeftMs: number;
}

/** Silence of a whole target after which its streams go on elsewhere. */
const DEAD_TARGET_SILENCE_MS = 900;
/** Part of the time left after which a plain request is sent again. */
const PLAIN_SILENCE_SHARE = 0.35;
/** Shortest silence that tells something, a few times a plain request's work. */
const MIN_PLAIN_SILENCE_MS = 100;
/**
 * A stream alone that is silent for this many times the pause aimed at is
 * given up in favour of another target. Clients leave after eight.
 */
const LONE_PAUSE_FACTOR = 4;
/** As above, for a first event; clients leave after four times the aim. */
const LONE_FIRST_EVENT_FACTOR = 2.5;

/** Tells whether to stop waiting for an answer and to try another target. */
export function isWaitFutile(question: SilenceQuestion): boolean {
  if (!question.isRepeatable) return false;
  const { silentMs, targetSilentMs } = question;
  if (!question.isStream) {
    const shareMs = (question.timeLeftMs + silentMs) * PLAIN_SILENCE_SHARE;
    return silentMs >= Math.max(MIN_PLAIN_SILENCE_MS, shareMs);
  }
  if (targetSilentMs >= DEAD_TARGET_SILENCE_MS) return true;
  const aimMs = question.hasAnswer
    ? question.targetPauseMs * LONE_PAUSE_FACTOR
    : question.targetLatencyMs * LONE_FIRST_EVENT_FACTOR;
  return silentMs >= Math.max(DEAD_TARGET_SILENCE_MS, aimMs);
}
