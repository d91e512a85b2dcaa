import type { FleetObject, ObjectSet } from "../objects/index.ts";
import { type ConfigFault, formatField } from "./config_fault.ts";

/** One object as read from a file, not checked yet. */
export interface SourceObject {
  readonly file: string;
  /** Path to the object inside the file; empty where it is the whole file. */
  readonly path: readonly PropertyKey[];
  readonly value: unknown;
}

/** An object that fits its schema, with the place it came from. */
export interface PlacedObject {
  readonly source: SourceObject;
  readonly object: FleetObject;
}

/** What the checks over the whole set look at. */
export interface CheckInput {
  readonly set: ObjectSet;
  readonly placed: readonly PlacedObject[];
  /** Keys of objects that are there but do not fit their schema. */
  readonly brokenKeys: ReadonlySet<string>;
}

/** Creates a fault at a field of a source object. */
export function createFault(
  source: SourceObject,
  path: readonly PropertyKey[],
  message: string,
): ConfigFault {
  const field = formatField([...source.path, ...path]);
  return { file: source.file, field, message };
}

/** Creates a fault at a field of a placed object. */
export function faultAt(
  placed: PlacedObject,
  path: readonly PropertyKey[],
  message: string,
): ConfigFault {
  return createFault(placed.source, path, message);
}
