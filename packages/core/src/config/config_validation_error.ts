/** A validation error in the configuration files of an operator. */
export interface ConfigValidationError {
  /** Path of the file as given by the operator. */
  readonly file: string;
  /**
   * The field inside the file, for example `[2].pool`; empty for the whole
   * file.
   */
  readonly field: string;
  /** What is wrong and how to correct it. */
  readonly message: string;
}

/** Formats a validation error on one line. */
export function formatConfigValidationError(
  error: ConfigValidationError,
): string {
  const location = error.field === ""
    ? error.file
    : `${error.file}: ${error.field}`;
  return `${location}: ${error.message}`;
}

/** Formats the path to a field, for example `[2].teams[0]`. */
export function formatField(path: readonly PropertyKey[]): string {
  let field = "";
  for (const part of path) {
    if (typeof part === "number") field += `[${part}]`;
    else field += field === "" ? String(part) : `.${String(part)}`;
  }
  return field;
}
