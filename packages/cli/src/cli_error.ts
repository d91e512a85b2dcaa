import { createStepError, type StepError } from "@coltsfootford/core";

/** The error kinds of a command and their exit codes. */
export const EXIT_CODES = {
  /** A bug in the tool. */
  "internal-fault": 1,
  /** The command line or the settings file is invalid. */
  "invalid-usage": 2,
  /** The objects are invalid; nothing was published. */
  "invalid-objects": 3,
  /** Another operator has published since; nothing was published. */
  "conflict": 4,
  /** The platform can't be reached; nothing was published. */
  "platform-unreachable": 5,
  /** It is unknown whether the publication took effect. */
  "outcome-unknown": 6,
  /** Published, but not in force in every daemon before the wait limit. */
  "not-in-force": 7,
  /** A daemon can't be reached or rejected the request. */
  "daemon-unreachable": 8,
  /** The platform is behind the daemons; nothing was published. */
  "platform-restored": 9,
  /** The named object does not exist. */
  "not-found": 10,
} as const;

/** An error kind of a command. */
export type CliErrorKind = keyof typeof EXIT_CODES;

/** The error of a command, with further lines for the operator. */
export interface CliError extends StepError<CliErrorKind> {
  readonly details: readonly string[];
}

/** The optional fields of a new `CliError`. */
export interface CliErrorOptions {
  readonly peer?: string | undefined;
  readonly cause?: unknown;
  readonly details?: readonly string[];
}

/** Creates a `CliError`. */
export function createCliError(
  kind: CliErrorKind,
  step: string,
  message: string,
  options: CliErrorOptions = {},
): CliError {
  const { details = [], ...rest } = options;
  return { ...createStepError(kind, step, message, rest), details };
}

/** Converts a failed call to the platform into a `CliError`. */
export function createPlatformError(error: StepError): CliError {
  return {
    ...error,
    kind: "platform-unreachable",
    details: [
      "Check the platform's address in the settings file or --platform.",
    ],
  };
}
