import { err, ok, type Result } from "neverthrow";
import {
  createObjectSet,
  type FleetObject,
  type ObjectKind,
  type ObjectSet,
  schemaByKind,
} from "../objects/index.ts";
import { checkLimits } from "./check_limits.ts";
import { checkReferences } from "./check_references.ts";
import {
  type CheckInput,
  createErrorAt,
  createValidationError,
  type LocatedObject,
  type SourceObject,
} from "./check_input.ts";
import type { ConfigValidationError } from "./config_validation_error.ts";
import { checkFallbackCycles } from "./fallback_routes.ts";
import { type ObjectKey, objectKey } from "./object_key.ts";

const KINDS = Object.keys(schemaByKind) as ObjectKind[];

/**
 * Validates a complete set and returns every error found: schema violations,
 * duplicates, dangling references, cycles and contradictory limits.
 */
export function checkObjects(
  sources: readonly SourceObject[],
): Result<ObjectSet, readonly ConfigValidationError[]> {
  const errors: ConfigValidationError[] = [];
  const invalidKeys = new Set<string>();
  const located: LocatedObject[] = [];
  for (const source of sources) {
    const parsed = parseSource(source);
    if (parsed.isOk()) {
      located.push({ source, object: parsed.value });
      continue;
    }
    errors.push(...parsed.error);
    const key = readRawKey(source.value);
    if (key) invalidKeys.add(key);
  }
  const set = createObjectSet(located.map((entry) => entry.object));
  errors.push(...checkSet({ set, located, invalidKeys }));
  return errors.length > 0 ? err(errors) : ok(set);
}

/**
 * Finds dangling references and fallback cycles in the pools and routes of a
 * published set, because requests depend on these objects. The publisher has
 * validated the rest. Repeating that over thousands of teams would delay
 * requests.
 */
export function checkPublishedSet(set: ObjectSet): ConfigValidationError[] {
  const objects = [...set.pools.values(), ...set.routes.values()];
  const located = objects.map((object) => ({
    source: { file: objectKey(object), path: [], value: object },
    object,
  }));
  const input = { set, located, invalidKeys: new Set<string>() };
  return [...checkReferences(input), ...checkFallbackCycles(input)];
}

function checkSet(input: CheckInput): ConfigValidationError[] {
  return [
    ...checkDuplicates(input.located),
    ...checkReferences(input),
    ...checkFallbackCycles(input),
    ...checkLimits(input),
  ];
}

function parseSource(
  source: SourceObject,
): Result<FleetObject, ConfigValidationError[]> {
  const kind = readField(source.value, "kind");
  if (!isKind(kind)) {
    const message = `set the kind to one of ${KINDS.join(", ")}`;
    return err([createValidationError(source, ["kind"], message)]);
  }
  const parsed = schemaByKind[kind].safeParse(source.value);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map((issue) =>
      createValidationError(source, issue.path, issue.message)
    ),
  );
}

function checkDuplicates(
  located: readonly LocatedObject[],
): ConfigValidationError[] {
  const errors: ConfigValidationError[] = [];
  const firstByKey = new Map<ObjectKey, LocatedObject>();
  for (const entry of located) {
    const key = objectKey(entry.object);
    const earlier = firstByKey.get(key);
    if (!earlier) {
      firstByKey.set(key, entry);
      continue;
    }
    const message =
      `${key} is already defined in ${earlier.source.file}; rename or remove one`;
    errors.push(createErrorAt(entry, ["name"], message));
  }
  return errors;
}

function isKind(value: unknown): value is ObjectKind {
  return KINDS.some((kind) => kind === value);
}

function readRawKey(value: unknown): string | undefined {
  const kind = readField(value, "kind");
  const name = readField(value, "name");
  if (!isKind(kind) || typeof name !== "string") return undefined;
  return objectKey({ kind, name });
}

function readField(value: unknown, field: string): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return (value as Record<string, unknown>)[field];
}
