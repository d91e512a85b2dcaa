/** One thing that is wrong with an operator's files. */
export interface ConfigFault {
  /** The file, as the operator named it. */
  readonly file: string;
  /** The field inside the file, for example `[2].pool`; empty for the whole. */
  readonly field: string;
  /** What is wrong and how to mend it. */
  readonly message: string;
}

/** Writes a fault on one line. */
export function formatConfigFault(fault: ConfigFault): string {
  const place = fault.field === ""
    ? fault.file
    : `${fault.file}: ${fault.field}`;
  return `${place}: ${fault.message}`;
}

/** Joins the parts of a path to a field: `[2].teams[0]`. */
export function formatField(path: readonly PropertyKey[]): string {
  let field = "";
  for (const part of path) {
    if (typeof part === "number") field += `[${part}]`;
    else field += field === "" ? String(part) : `.${String(part)}`;
  }
  return field;
}
