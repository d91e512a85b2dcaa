import { createStepError, type StepError } from "@coltsfootford/core";

/** The kinds of failure of a command, with the exit code of each. */
export const EXIT_CODES = {
  /** A fault in the tool itself. */
  "internal-fault": 1,
  /** The command line or the settings file is wrong. */
  "invalid-usage": 2,
  /** The objects have faults; nothing was published. */
  "invalid-objects": 3,
  /** Another operator published first; nothing was published. */
  "conflict": 4,
  /** The platform can't be reached; nothing was published. */
  "platform-unreachable": 5,
  /** It is not known whether the publication took effect. */
  "outcome-unknown": 6,
  /** Published, but not in force in every daemon in time. */
  "not-in-force": 7,
  /** A daemon can't be reached or refused. */
  "daemon-unreachable": 8,
  /** The platform is behind the daemons; nothing was published. */
  "platform-restored": 9,
  /** What was named does not exist. */
  "not-found": 10,
} as const;

/** A kind of failure of a command. */
export type CliErrorKind = keyof typeof EXIT_CODES;

/** A failed command, with further lines for the operator. */
export interface CliError extends StepError<CliErrorKind> {
  readonly details: readonly string[];
}

/** The optional parts of a new `CliError`. */
export interface CliErrorParts {
  readonly peer?: string | undefined;
  readonly cause?: unknown;
  readonly details?: readonly string[];
}

/** Creates a `CliError`. */
export function createCliError(
  kind: CliErrorKind,
  step: string,
  message: string,
  parts: CliErrorParts = {},
): CliError {
  const { details = [], ...rest } = parts;
  return { ...createStepError(kind, step, message, rest), details };
}

/** Turns a failed read of the platform into the error of a command. */
export function createPlatformError(error: StepError): CliError {
  return {
    ...error,
    kind: "platform-unreachable",
    details: [
      "Check the platform's address in the settings file or --platform.",
    ],
  };
}
