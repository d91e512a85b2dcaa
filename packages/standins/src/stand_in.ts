/** One stand-in of the platform or of a target, with a port of its own. */
export abstract class StandIn {
  /** The VM name of a target, or the name of a part of the platform. */
  abstract readonly name: string;

  abstract get port(): number;

  /**
   * Merges faults into those in force.
   *
   * @throws z.ZodError where a field is unknown or has a wrong value.
   */
  abstract applyFaults(faults: unknown): Promise<void>;

  /** What only this stand-in knows, ready for JSON. */
  abstract describeTruth(): unknown;

  /** Clears faults and records. */
  abstract reset(): Promise<void>;

  abstract close(): Promise<void>;
}
