import type { FleetObject, ObjectSet } from "../objects/index.ts";
import {
  type ConfigValidationError,
  formatField,
} from "./config_validation_error.ts";

/** An object read from a file and not validated yet. */
export interface SourceObject {
  readonly file: string;
  /**
   * Path to the object inside the file; empty if the object is the whole file.
   */
  readonly path: readonly PropertyKey[];
  readonly value: unknown;
}

/** An object that matches its schema, with its source. */
export interface LocatedObject {
  readonly source: SourceObject;
  readonly object: FleetObject;
}

/** Input of the checks that apply to a complete set. */
export interface CheckInput {
  readonly set: ObjectSet;
  readonly located: readonly LocatedObject[];
  /** Keys of objects that are defined but do not match their schema. */
  readonly invalidKeys: ReadonlySet<string>;
}

/** Creates a validation error for a field of a source object. */
export function createValidationError(
  source: SourceObject,
  path: readonly PropertyKey[],
  message: string,
): ConfigValidationError {
  const field = formatField([...source.path, ...path]);
  return { file: source.file, field, message };
}

/** Creates a validation error for a field of an object with a known source. */
export function createErrorAt(
  located: LocatedObject,
  path: readonly PropertyKey[],
  message: string,
): ConfigValidationError {
  return createValidationError(located.source, path, message);
}
