import { Maybe } from "true-myth";

/**
 * A failure with the step and the peer at which it arose. Functions that can
 * fail return it inside a neverthrow `Result`; true-myth's `Maybe` holds the
 * parts that may be absent.
 */
export interface StepError<Kind extends string = string> {
  /** Machine-readable kind, in kebab case. */
  readonly kind: Kind;
  /** The step that failed, for example `claim.create`. */
  readonly step: string;
  /** The peer that the step talked to: a VM, a target or the platform. */
  readonly peer: Maybe<string>;
  /** One sentence for a person: what is wrong and how to mend it. */
  readonly message: string;
  /** The text of the error underneath, where there is one. */
  readonly cause: Maybe<string>;
}

/** The optional parts of a new `StepError`. */
export interface StepErrorParts {
  readonly peer?: string | undefined;
  readonly cause?: unknown;
}

/** Creates a `StepError`. */
export function createStepError<Kind extends string>(
  kind: Kind,
  step: string,
  message: string,
  parts: StepErrorParts = {},
): StepError<Kind> {
  return {
    kind,
    step,
    message,
    peer: Maybe.of(parts.peer),
    cause: Maybe.of(describeCause(parts.cause)),
  };
}

/** Writes a `StepError` on one line, for logs and command-line output. */
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
