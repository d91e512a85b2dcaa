/**
 * A part of the daemon with one job. It reads fields of the blackboard, alone
 * writes some of them, and names both in its doc comment.
 */
export abstract class Controller {
  /** The name in the state dump, in kebab case. */
  abstract readonly name: string;

  /** Subscribes to the timer and opens what the controller needs. */
  abstract start(): Promise<void>;

  /** Ends every subscription and closes what `start` opened. */
  abstract stop(): Promise<void>;

  /** The state for an operator, without secrets, ready for JSON. */
  abstract dumpState(): unknown;
}
