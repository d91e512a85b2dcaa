/**
 * Events after which a target has survived the beginning of its response. One
 * that crashes because of a request may send the first event before it ends.
 */
const EVENTS_OF_BEGINNING = 2;

/**
 * Whether a target went on after the beginning of a response. A later crash is
 * less evidence against the request and the parts of its prompt, since most
 * crashes in the midst of responses have other causes. It proves nothing in
 * their favour: only a complete response does.
 */
export function hasSurvivedBeginning(eventsReceived: number): boolean {
  return eventsReceived >= EVENTS_OF_BEGINNING;
}
