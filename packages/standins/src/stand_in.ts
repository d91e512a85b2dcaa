/** A stand-in of a target or of a part of the platform, with its own port. */
export abstract class StandIn {
  /** The VM name of a target, or the name of a part of the platform. */
  abstract readonly name: string;

  abstract get port(): number;

  /**
   * Merges faults into the current ones.
   *
   * @throws z.ZodError if a field is unknown or has an invalid value.
   */
  abstract applyFaults(faults: unknown): Promise<void>;

  /** The ground truth that this stand-in records; serializable as JSON. */
  abstract describeTruth(): unknown;

  /** Clears faults and records. */
  abstract reset(): Promise<void>;

  abstract close(): Promise<void>;
}
