import { type BodyDelimiter, provesCompleteBody } from "@coltsfootford/core";
import type { CurrentAttempt } from "./current_attempt.ts";
import type {
  AcceptedRequest,
  ForwarderDependencies,
} from "./forwarding_types.ts";

/**
 * Reports an attempt whose target may have crashed because of the request. One
 * whose body was dropped can't be identified.
 */
export function observeBroken(
  { crashObserver, promptObserver }: ForwarderDependencies,
  accepted: AcceptedRequest,
  { target, inFlight, digest }: CurrentAttempt,
): void {
  const { body, metadata: { prompt } } = accepted;
  if (digest !== undefined || !body.held.isEvicted) {
    const content = { ...accepted, digest };
    crashObserver.onAttemptBroken(content, target.target, inFlight);
  }
  promptObserver.onAttemptBroken(prompt, target.target, inFlight);
}

/** Reports the end of a stream, as far as its delimiter proves it complete. */
export function observeStreamEnd(
  { promptObserver }: ForwarderDependencies,
  { metadata: { prompt } }: AcceptedRequest,
  { target, inFlight }: CurrentAttempt,
  delimiter: BodyDelimiter,
): void {
  if (provesCompleteBody(delimiter)) {
    return promptObserver.onResponseCompleted(prompt);
  }
  promptObserver.onResponseUnproven(prompt, target.target, inFlight);
}
