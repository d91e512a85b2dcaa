/**
 * A component of the daemon with a single responsibility. It reads fields of
 * the blackboard and is the only writer of some of them. Its doc comment lists
 * both.
 */
export abstract class Controller {
  /** The name in the state dump, in kebab case. */
  abstract readonly name: string;

  /** Subscribes to the timer and opens what the controller needs. */
  abstract start(): Promise<void>;

  /** Cancels every subscription and closes what `start` opened. */
  abstract stop(): Promise<void>;

  /** Returns the state for operators, as JSON data without secrets. */
  abstract dumpState(): unknown;
}
