/**
 * An `error` makes a part of the configuration ineffective or ambiguous. With a
 * `warning` the configuration works, but probably not as intended.
 */
export type FindingSeverity = "error" | "warning";

/** Field names and list indexes, from the configuration down to a field. */
export type FieldPath = readonly (string | number)[];

/** A fault of a configuration. */
export interface ConfigFinding {
  readonly severity: FindingSeverity;
  readonly path: FieldPath;
  readonly message: string;
  readonly remedy: string;
}

/** Settings of the daemons that bound what a configuration may ask for. */
export interface ConfigBounds {
  /** Retries earned by each first attempt. */
  readonly retryRatio?: number | undefined;
  /** Time between SIGTERM and the forced end of a daemon. */
  readonly shutdownLimitMs?: number | undefined;
  readonly memoryLimitBytes?: number | undefined;
  readonly maxDescriptors?: number | undefined;
}

export function createError(
  path: FieldPath,
  message: string,
  remedy: string,
): ConfigFinding {
  return { severity: "error", path, message, remedy };
}

export function createWarning(
  path: FieldPath,
  message: string,
  remedy: string,
): ConfigFinding {
  return { severity: "warning", path, message, remedy };
}
