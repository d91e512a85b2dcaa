import { Maybe } from "true-myth";

/**
 * A failure with the step and the peer at which it occurred. Functions that can
 * fail return it inside a neverthrow `Result`; optional fields are true-myth's
 * `Maybe`.
 */
export interface StepError<Kind extends string = string> {
  /** Machine-readable kind, in kebab case. */
  readonly kind: Kind;
  /** The step that failed, for example `claim.create`. */
  readonly step: string;
  /** The peer that the step contacted: a VM, a target or the platform. */
  readonly peer: Maybe<string>;
  /** One sentence for operators: what is wrong and how to fix it. */
  readonly message: string;
  /** The message of the underlying error, if any. */
  readonly cause: Maybe<string>;
}

/** The optional fields of a new `StepError`. */
export interface StepErrorDetails {
  readonly peer?: string | undefined;
  readonly cause?: unknown;
}

export function createStepError<Kind extends string>(
  kind: Kind,
  step: string,
  message: string,
  details: StepErrorDetails = {},
): StepError<Kind> {
  return {
    kind,
    step,
    message,
    peer: Maybe.of(details.peer),
    cause: Maybe.of(describeCause(details.cause)),
  };
}

/** Formats a `StepError` on one line, for logs and command-line output. */
export function formatStepError(error: StepError): string {
  const peer = error.peer.match({
    Just: (name) => ` (peer ${name})`,
    Nothing: () => "",
  });
  return `${error.step}${peer}: ${error.message} [${error.kind}]`;
}

function describeCause(cause: unknown): string | undefined {
  if (cause === undefined || cause === null) return undefined;
  if (cause instanceof Error) return cause.message;
  return String(cause);
}
