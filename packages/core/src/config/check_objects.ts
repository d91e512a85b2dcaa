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
  createFault,
  faultAt,
  type PlacedObject,
  type SourceObject,
} from "./check_input.ts";
import type { ConfigFault } from "./config_fault.ts";
import { checkFallbackCycles } from "./fallback_routes.ts";
import { type ObjectKey, objectKey } from "./object_key.ts";

const KINDS = Object.keys(schemaByKind) as ObjectKind[];

/**
 * Checks a whole set at once and returns every fault found: schemas,
 * duplicates, dangling references, cycles and limits that contradict.
 */
export function checkObjects(
  sources: readonly SourceObject[],
): Result<ObjectSet, readonly ConfigFault[]> {
  const faults: ConfigFault[] = [];
  const brokenKeys = new Set<string>();
  const placed: PlacedObject[] = [];
  for (const source of sources) {
    const parsed = parseSource(source);
    if (parsed.isOk()) {
      placed.push({ source, object: parsed.value });
      continue;
    }
    faults.push(...parsed.error);
    const key = readRawKey(source.value);
    if (key) brokenKeys.add(key);
  }
  const set = createObjectSet(placed.map((item) => item.object));
  faults.push(...checkSet({ set, placed, brokenKeys }));
  return faults.length > 0 ? err(faults) : ok(set);
}

/**
 * Checks what requests rely on in a published set: that pools and routes lead
 * somewhere. The publisher has checked the rest; to repeat it over thousands of
 * teams would hold up requests.
 */
export function checkPublishedSet(set: ObjectSet): ConfigFault[] {
  const objects = [...set.pools.values(), ...set.routes.values()];
  const placed = objects.map((object) => ({
    source: { file: objectKey(object), path: [], value: object },
    object,
  }));
  const input = { set, placed, brokenKeys: new Set<string>() };
  return [...checkReferences(input), ...checkFallbackCycles(input)];
}

function checkSet(input: CheckInput): ConfigFault[] {
  return [
    ...checkDuplicates(input.placed),
    ...checkReferences(input),
    ...checkFallbackCycles(input),
    ...checkLimits(input),
  ];
}

function parseSource(
  source: SourceObject,
): Result<FleetObject, ConfigFault[]> {
  const kind = readField(source.value, "kind");
  if (!isKind(kind)) {
    const message = `set the kind to one of ${KINDS.join(", ")}`;
    return err([createFault(source, ["kind"], message)]);
  }
  const parsed = schemaByKind[kind].safeParse(source.value);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map((issue) =>
      createFault(source, issue.path, issue.message)
    ),
  );
}

function checkDuplicates(placed: readonly PlacedObject[]): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const first = new Map<ObjectKey, PlacedObject>();
  for (const item of placed) {
    const key = objectKey(item.object);
    const earlier = first.get(key);
    if (!earlier) {
      first.set(key, item);
      continue;
    }
    const message =
      `${key} is defined in ${earlier.source.file} already; rename or remove one`;
    faults.push(faultAt(item, ["name"], message));
  }
  return faults;
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
